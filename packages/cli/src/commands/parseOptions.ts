import { parseArgs, type ParseArgsConfig } from 'node:util';

import UsageError from './UsageError';

/**
 * Parses the options of a command.
 *
 * @param args - the arguments after the command's name
 * @param options - the options, as in `util.parseArgs`
 * @param positionals - number of positional arguments that the command takes, or `any`
 * @returns the parsed options and positional arguments
 * @throws UsageError if an option is unknown or the number of arguments is wrong
 */
export default function parseOptions<Options extends NonNullable<ParseArgsConfig['options']>>(
  args: string[],
  options: Options,
  positionals: number | 'any' = 0,
): ReturnType<typeof parseArgs<{ args: string[]; options: Options; allowPositionals: boolean }>> {
  try {
    const parsed = parseArgs({ args, options, allowPositionals: positionals !== 0 });
    if (positionals !== 'any' && parsed.positionals.length !== positionals) {
      throw new UsageError(`expected ${positionals} argument(s), found ${parsed.positionals.length}`);
    }
    return parsed;
  } catch (err) {
    throw new UsageError((err as Error).message);
  }
}
