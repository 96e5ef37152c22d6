import { Command, Option } from 'clipanion';
import { ChangeCommand } from '../ChangeCommand.js';
import { switchPreset } from '../edits.js';
import type { ExitCode } from '../exitCodes.js';

/** Puts a preset in force. */
export class PresetSwitchCommand extends ChangeCommand {
  public static override paths = [['preset', 'switch']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'put a preset in force on all daemons',
    details: 'Exactly one preset is in force. "preset undo" returns to the one before.',
    examples: [['Switch to the preset peak', '$0 preset switch peak']],
  });

  public name = Option.String();

  protected override async run(): Promise<ExitCode> {
    return this.change({
      summary: `preset switch ${this.name}`,
      edit: switchPreset(this.name),
      undo: 'preset undo',
      reliesOn: [`preset ${this.name}`],
    });
  }
}
