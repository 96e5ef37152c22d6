/** All commands of `limpettrack`. */
import { Builtins } from 'clipanion';
import type { CommandClass } from 'clipanion';
import type { OperatorContext } from '../Types.js';
import { DocumentEditCommand } from './DocumentEditCommand.js';
import { DocumentListCommand } from './DocumentListCommand.js';
import { DocumentRemoveCommand } from './DocumentRemoveCommand.js';
import { DocumentShowCommand } from './DocumentShowCommand.js';
import { ExplainCommand } from './ExplainCommand.js';
import { PauseCommand } from './PauseCommand.js';
import { PresetCheckCommand } from './PresetCheckCommand.js';
import { PresetDiffCommand } from './PresetDiffCommand.js';
import { PresetShowCommand } from './PresetShowCommand.js';
import { PresetStatusCommand } from './PresetStatusCommand.js';
import { PresetSwitchCommand } from './PresetSwitchCommand.js';
import { PresetUndoCommand } from './PresetUndoCommand.js';
import { PresetWriteCommand } from './PresetWriteCommand.js';
import { QuarantineClearCommand } from './QuarantineClearCommand.js';
import { QuarantineListCommand } from './QuarantineListCommand.js';
import { RevisionListCommand } from './RevisionListCommand.js';
import { RevisionRestoreCommand } from './RevisionRestoreCommand.js';
import { RevisionShowCommand } from './RevisionShowCommand.js';
import { StatsCommand } from './StatsCommand.js';
import { StatusCommand } from './StatusCommand.js';
import { TargetHoldCommand } from './TargetHoldCommand.js';
import { TargetListCommand } from './TargetListCommand.js';
import { TargetRestoreCommand } from './TargetRestoreCommand.js';
import { WhyCommand } from './WhyCommand.js';

/** Commands in the order of the help. */
export const commands: readonly CommandClass<OperatorContext>[] = [
  StatusCommand,
  StatsCommand,
  WhyCommand,
  ExplainCommand,
  TargetListCommand,
  TargetHoldCommand,
  TargetRestoreCommand,
  PauseCommand,
  PresetStatusCommand,
  PresetSwitchCommand,
  PresetUndoCommand,
  PresetCheckCommand,
  PresetDiffCommand,
  PresetShowCommand,
  PresetWriteCommand,
  DocumentListCommand,
  DocumentShowCommand,
  DocumentEditCommand,
  DocumentRemoveCommand,
  RevisionListCommand,
  RevisionShowCommand,
  RevisionRestoreCommand,
  QuarantineListCommand,
  QuarantineClearCommand,
  Builtins.HelpCommand,
];
