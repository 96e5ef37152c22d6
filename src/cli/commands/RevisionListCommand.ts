import { Command } from 'clipanion';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { formatTable } from '../table.js';

/** Lists the revisions of the history. */
export class RevisionListCommand extends OperatorCommand {
  public static override paths = [['revision', 'list']];

  public static override usage = Command.Usage({
    category: 'Revisions',
    description: 'list the last 50 revisions, newest first',
    examples: [['Who changed what', '$0 revision list']],
  });

  protected override async run(): Promise<ExitCode> {
    const heads = await (await this.openEditor()).history();
    const rows = heads.map(({ revision, preset, author, created, summary }) => [
      String(revision),
      preset,
      author,
      created,
      summary,
    ]);
    this.write(heads, formatTable(['revision', 'preset', 'author', 'created', 'summary'], rows));
    return exitCodes.done;
  }
}
