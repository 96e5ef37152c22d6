import { Command, Option } from 'clipanion';
import type { PresetDocument } from '../../common/configuration/Types.js';
import { formatPreset } from '../ConfigurationFile.js';
import { findDocument } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Shows a preset as an INI file that `preset write` accepts. */
export class PresetShowCommand extends OperatorCommand {
  public static override paths = [['preset', 'show']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'show a preset as an INI file',
    details: 'Section [base] tells "preset write" which revision the author of a change looked at.',
    examples: [['Edit a preset', '$0 preset show peak > peak.ini']],
  });

  public name = Option.String();

  protected override async run(): Promise<ExitCode> {
    const { configuration } = await (await this.openEditor()).read();
    const preset = findDocument(configuration, 'preset', this.name) as PresetDocument | undefined;
    if (preset === undefined) {
      const message = `there is no preset ${this.name}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    this.write(preset, [formatPreset(preset, configuration.revision)]);
    return exitCodes.done;
  }
}
