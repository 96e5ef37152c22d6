import { Command } from 'clipanion';
import { ChangeCommand } from '../ChangeCommand.js';
import { switchPreset } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';

/** Returns to the preset that was in force before the last switch. */
export class PresetUndoCommand extends ChangeCommand {
  public static override paths = [['preset', 'undo']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'return to the preset that was in force before the last switch',
    details: 'Other changes since the switch stay.',
    examples: [['Return to the previous preset', '$0 preset undo']],
  });

  protected override async run(): Promise<ExitCode> {
    const editor = await this.openEditor();
    const { configuration } = await editor.read();
    const previous = (await editor.history()).find(
      ({ preset }) => preset !== configuration.preset && preset !== '',
    );
    if (previous === undefined) {
      const message = 'the history has no other preset in force';
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    return this.change(
      {
        summary: `preset undo to ${previous.preset}`,
        edit: switchPreset(previous.preset),
        undo: `preset switch ${configuration.preset}`,
        reliesOn: [`preset ${previous.preset}`],
      },
      configuration.revision,
    );
  }
}
