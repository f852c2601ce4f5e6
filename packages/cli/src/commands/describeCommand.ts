import type Command from './Command';
import optionTable from './optionTable';

const OPTION = /--([a-z-]+)/g;
const OPTION_WIDTH = 14;

/**
 * Creates the help text of a command, which describes each of its options.
 *
 * @param command - the command to describe
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
    'Exit codes: 0 success, 1 failure, 2 usage error.',
  ].join('\n');
}
