import { basename } from 'node:path';
import { Command, Option } from 'clipanion';
import { isLeft } from 'fp-ts/lib/Either.js';
import { BadFileError } from '../BadFileError.js';
import { ChangeCommand } from '../ChangeCommand.js';
import { readConfigurationFile } from '../ConfigurationFile.js';
import type { ConfigurationDraft } from '../ConfigurationFile.js';
import { compareConfigurations, presetInForce } from '../configurationDiff.js';
import { applyDraft } from '../edits.js';
import type { Edit } from '../edits.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';

/** Applies a file that gives no base revision: it may add documents, but not change existing ones. */
function refuseChangesWithoutBase(draft: ConfigurationDraft): Edit {
  const edit = applyDraft(draft);
  return (content) => {
    const result = edit(content);
    if (isLeft(result)) return result;
    const changed = compareConfigurations(content, result.right)
      .filter(({ type, document }) => type === 'changed' && document !== presetInForce)
      .map(({ document }) => document);
    if (changed.length === 0) return result;
    const message = `${changed.join(', ')} would change, and the file has no [base] revision; give --base with the revision that you looked at`;
    return { _tag: 'Left', left: { exitCode: exitCodes.invalid, message } };
  };
}

/** Creates or replaces the documents of a file. */
export class PresetWriteCommand extends ChangeCommand {
  public static override paths = [['preset', 'write']];

  public static override usage = Command.Usage({
    category: 'Presets',
    description: 'write the presets, services, routes and accounts of an INI file',
    details: `
      All documents of the file are created or replaced in one revision; others stay. A file that changes a document
      needs the revision that its author looked at, in its section [base] or as --base.
    `,
    examples: [
      ['Write the presets of the plant', '$0 preset write examples/plant/configuration.ini'],
    ],
  });

  public file = Option.String();

  protected override async run(): Promise<ExitCode> {
    const draft = readConfigurationFile(this.file, await this.readFile(this.file));
    if (isLeft(draft)) throw new BadFileError(draft.left.problems);
    const hasBase = this.base !== undefined || draft.right.base !== undefined;
    const edit = hasBase ? applyDraft(draft.right) : refuseChangesWithoutBase(draft.right);
    return this.change({ summary: `preset write ${basename(this.file)}`, edit }, draft.right.base);
  }
}
