import { Command, Option } from 'clipanion';
import { brandAs } from '../../common/base/index.js';
import type { Revision } from '../../common/base/index.js';
import { integer } from '../../common/settings/index.js';
import { compareConfigurations, formatChanges } from '../configurationDiff.js';
import { emptyContent } from '../../common/configuration/emptyContent.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';

/** Shows what a revision changed, or what differs between two. */
export class RevisionShowCommand extends OperatorCommand {
  public static override paths = [
    ['revision', 'show'],
    ['revision', 'diff'],
  ];

  public static override usage = Command.Usage({
    category: 'Revisions',
    description: 'show what a revision changed, or what differs between two',
    details: 'With --json "show" gives the whole revision. "diff" takes two revisions.',
    examples: [
      ['What did revision 7 change', '$0 revision show 7'],
      ['What changed since revision 5', '$0 revision diff 5 7'],
    ],
  });

  public first = Option.String();

  public second = Option.String({ required: false });

  protected override async run(): Promise<ExitCode> {
    const first = RevisionShowCommand.parse('revision', integer(), this.first);
    const editor = await this.openEditor();
    const shown = await editor.readRevision(brandAs<Revision>(first));
    if (this.second !== undefined) {
      const second = RevisionShowCommand.parse('revision', integer(), this.second);
      const later = await editor.readRevision(brandAs<Revision>(second));
      const changes = compareConfigurations(shown, later);
      this.write(changes, [`from revision ${first} to ${second}:`, ...formatChanges(changes)]);
      return exitCodes.done;
    }
    const head = (await editor.history()).find(({ revision }) => revision === first);
    const hasParent = head !== undefined && head.parent > 0;
    const parent = hasParent ? await editor.readRevision(head.parent) : emptyContent;
    this.write({ head, configuration: shown }, [
      `revision ${first} by ${head?.author ?? 'unknown'}: ${head?.summary ?? ''}`,
      ...formatChanges(compareConfigurations(parent, shown)),
    ]);
    return exitCodes.done;
  }
}
