import type Command from './Command';
import optionTable from './optionTable';

const OPTION = /--([a-z-]+)/g;
const OPTION_WIDTH = 14;

/**
 * Describes a command and each of its options.
 *
 * @param command - the command
 * @returns the help text
 */
export default function describeCommand(command: Command): string {
  const options = [...command.usage.matchAll(OPTION)].map(([, name = '']) => (
    `  --${name.padEnd(OPTION_WIDTH)}${optionTable[name] ?? ''}`
  ));
  return [
    `usage: guavayard ${command.name} ${command.usage}`.trimEnd(), '',
    command.summary, '',
    ...options,
    `  --${'help'.padEnd(OPTION_WIDTH)}print this text`, '',
    'Exit codes: 0 done, 1 failed, 2 wrong use.',
  ].join('\n');
}
