import commands from './commands/commands';
import describeCommand from './commands/describeCommand';
import ExitCode from './commands/ExitCode';
import print from './commands/print';
import printError from './commands/printError';
import UsageError from './commands/UsageError';

const NAME_WIDTH = 10;

function describeCommands(): string {
  const lines = commands.map((command) => `  ${command.name.padEnd(NAME_WIDTH)}${command.summary}`);
  return [
    'usage: guavayard COMMAND [OPTIONS]', '', ...lines, '',
    'Run guavayard COMMAND --help for details.',
    'Exit codes: 0 success, 1 failure, 2 usage error.',
  ].join('\n');
}

/**
 * Runs the command that the arguments name.
 *
 * @param args - the arguments after the program's name
 * @returns the exit code
 */
export default async function runCommandLine(args: string[]): Promise<number> {
  const [name, ...rest] = args;
  if (name === undefined || name === '--help' || name === 'help') {
    print(describeCommands());
    return name === undefined ? ExitCode.usage : ExitCode.ok;
  }
  const command = commands.find((candidate) => candidate.name === name);
  if (command === undefined) {
    printError(`unknown command "${name}"; guavayard --help lists them`);
    return ExitCode.usage;
  }
  if (rest.includes('--help')) {
    print(describeCommand(command));
    return ExitCode.ok;
  }
  try {
    return await command.run(rest);
  } catch (err) {
    if (!(err instanceof UsageError)) throw err;
    printError(err.message);
    return ExitCode.usage;
  }
}
