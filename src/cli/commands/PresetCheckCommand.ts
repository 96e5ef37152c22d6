import { Command, Option } from 'clipanion';
import { isLeft } from 'fp-ts/lib/Either.js';
import type { ConfigurationContent } from '../../common/configuration/Types.js';
import { BadFileError } from '../BadFileError.js';
import { deriveCapacities } from '../capacities.js';
import { readConfigurationFile } from '../ConfigurationFile.js';
import type { ConfigurationDraft, ExpectedCapacity } from '../ConfigurationFile.js';
import { emptyContent } from '../../common/configuration/emptyContent.js';
import { applyDraft } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { checkPresets, compareLimits } from '../presetCheck.js';
import { formatTable } from '../table.js';

/** Warns about limits that cannot be met and shows what a switch would change. */
export class PresetCheckCommand extends OperatorCommand {
  public static override paths = [['preset', 'check']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'warn of limits that cannot hold and show what a switch would change',
    details: `
      Checks a file, or the store if no file is given; with --store a file is checked as it would stand there.
      The slots of a service come from the daemon (--daemon), otherwise from sections [capacity SERVICE] of the file.
    `,
    examples: [
      ['Check a file without a fleet', '$0 preset check examples/auction/configuration.ini'],
      ['Check a switch', '$0 preset check --switch peak'],
    ],
  });

  public file = Option.String({ required: false });

  public switchTo = Option.String('--switch', { description: 'show what a switch would change' });

  protected override async run(): Promise<ExitCode> {
    const draft = await this.readDraft();
    const content = await this.readContent(draft);
    const capacities = await this.readCapacities(draft);
    const presets =
      this.switchTo === undefined ? content.presets.map(({ name }) => name) : [this.switchTo];
    if (
      this.switchTo !== undefined &&
      !content.presets.some(({ name }) => name === this.switchTo)
    ) {
      const message = `there is no preset ${this.switchTo}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    const warnings = checkPresets(content, presets, capacities);
    const changes =
      this.switchTo === undefined ? [] : compareLimits(content, content.preset, this.switchTo);
    this.write({ warnings, from: content.preset, to: this.switchTo, changes }, [
      ...(warnings.length === 0 ? ['no warnings'] : []),
      ...warnings.map(({ subject, message }) => `warning: ${subject}: ${message}`),
      ...this.formatSwitch(content.preset, changes),
    ]);
    return warnings.length === 0 ? exitCodes.done : exitCodes.warnings;
  }

  private formatSwitch(from: string, changes: ReturnType<typeof compareLimits>): string[] {
    if (this.switchTo === undefined) return [];
    const rows = changes.map(({ property, before, after }) => [
      property,
      String(before),
      String(after),
    ]);
    return formatTable(['a switch would change', from, this.switchTo], rows);
  }

  private async readDraft(): Promise<ConfigurationDraft | undefined> {
    if (this.file === undefined) return undefined;
    const draft = readConfigurationFile(this.file, await this.readFile(this.file));
    if (isLeft(draft)) throw new BadFileError(draft.left.problems);
    return draft.right;
  }

  private async readContent(draft: ConfigurationDraft | undefined): Promise<ConfigurationContent> {
    const { store } = await this.connections();
    const needsStore = draft === undefined || store.length > 0;
    const current = needsStore
      ? (await (await this.openEditor()).read()).configuration
      : emptyContent;
    if (draft === undefined) return current;
    const edited = applyDraft(draft)(current);
    return isLeft(edited) ? current : edited.right;
  }

  private async readCapacities(
    draft: ConfigurationDraft | undefined,
  ): Promise<ReadonlyMap<string, ExpectedCapacity>> {
    const expected = draft?.capacities ?? new Map<string, ExpectedCapacity>();
    if ((await this.connections()).daemons.length === 0) return expected;
    return deriveCapacities(await (await this.daemonClient()).targets(), expected);
  }
}
