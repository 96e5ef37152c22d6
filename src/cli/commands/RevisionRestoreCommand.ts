import { Command, Option } from 'clipanion';
import { right } from 'fp-ts/lib/Either.js';
import { brandAs } from '../../common/base/index.js';
import type { Revision } from '../../common/base/index.js';
import { integer } from '../../common/settings/index.js';
import { ChangeCommand } from '../ChangeCommand.js';
import type { ExitCode } from '../exitCodes.js';

/** Writes the content of an old revision as a new one. */
export class RevisionRestoreCommand extends ChangeCommand {
  public static override paths = [['revision', 'restore']];

  public static override usage = Command.Usage({
    category: 'Revisions',
    description: 'write the content of an old revision as a new one',
    details:
      'Everything returns to that revision, the preset in force too. The history keeps both.',
    examples: [['Undo the last change', '$0 revision restore 6']],
  });

  public revision = Option.String();

  protected override async run(): Promise<ExitCode> {
    const revision = RevisionRestoreCommand.parse('revision', integer(), this.revision);
    const editor = await this.openEditor();
    const current = await editor.read();
    const { revision: source, ...content } = await editor.readRevision(brandAs<Revision>(revision));
    return this.change(
      {
        summary: `revision restore ${source}`,
        edit: () => right(content),
        // A concurrent change would be reverted silently.
        reliesOn: 'everything',
      },
      current.configuration.revision,
    );
  }
}
