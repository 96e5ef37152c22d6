import { Command, Option } from 'clipanion';
import { findDocument } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { compareLimits } from '../presetCheck.js';
import { formatTable } from '../table.js';

/** Compares the limits of the services under two presets. */
export class PresetDiffCommand extends OperatorCommand {
  public static override paths = [['preset', 'diff']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'show which limits differ between two presets',
    examples: [['Compare the presets before a switch', '$0 preset diff ordinary peak']],
  });

  public from = Option.String();

  public to = Option.String();

  protected override async run(): Promise<ExitCode> {
    const { configuration } = await (await this.openEditor()).read();
    const missing = [this.from, this.to].find(
      (name) => findDocument(configuration, 'preset', name) === undefined,
    );
    if (missing !== undefined) {
      const message = `there is no preset ${missing}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    const changes = compareLimits(configuration, this.from, this.to);
    const rows = changes.map(({ property, before, after }) => [
      property,
      String(before),
      String(after),
    ]);
    this.write(changes, formatTable(['limit', this.from, this.to], rows));
    return exitCodes.done;
  }
}
