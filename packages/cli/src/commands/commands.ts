import ApplyCommand from './ApplyCommand';
import CheckCommand from './CheckCommand';
import type Command from './Command';
import ExplainCommand from './ExplainCommand';
import InitCommand from './InitCommand';
import OutcomeCommand from './OutcomeCommand';
import PatchCommand from './PatchCommand';
import ReportCommand from './ReportCommand';
import RunCommand from './RunCommand';
import ServeCommand from './ServeCommand';
import ShowCommand from './ShowCommand';
import StatusCommand from './StatusCommand';
import VersionCommand from './VersionCommand';

/** All commands, in the order of the help text. */
const commands: readonly Command[] = [
  new RunCommand(),
  new ServeCommand(),
  new InitCommand(),
  new CheckCommand(),
  new PatchCommand(),
  new ApplyCommand(),
  new OutcomeCommand(),
  new ShowCommand(),
  new StatusCommand(),
  new ReportCommand(),
  new ExplainCommand(),
  new VersionCommand(),
];

export default commands;
