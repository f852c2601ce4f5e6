import { parseArgs, type ParseArgsConfig } from 'node:util';

import UsageError from './UsageError';

/**
 * Parses the options of a command.
 *
 * @param args - the words after the command's name
 * @param options - the options, as in `util.parseArgs`
 * @param positionals - how many other words the command takes; `any` for any number
 * @returns the parsed options and words
 * @throws UsageError if a word is unknown or their number is wrong
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
