import { Option } from 'clipanion';
import { isLeft } from 'fp-ts/lib/Either.js';
import { integer } from '../common/settings/index.js';
import { ChangeRunner } from './ChangeRunner.js';
import { formatChanges } from './configurationDiff.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';
import { OperatorCommand } from './OperatorCommand.js';
import type { ChangeConflict, ChangePlan, ChangeReport } from './Types.js';

function formatConflict(report: ChangeConflict): string[] {
  const { base, present, between, overlap } = report;
  return [
    `conflict: your change is NOT in. Since revision ${base} someone changed ${overlap.join(', ')}.`,
    ...between.map(({ revision, author, summary }) => `  ${revision} by ${author}: ${summary}`),
    `your change, from revision ${base}:`,
    ...formatChanges(report.ours),
    `what changed from revision ${base} to ${present}, which is in:`,
    ...formatChanges(report.theirs),
    `To keep what is in, do nothing. To put yours on top, run the command again with --base ${present}.`,
  ];
}

function formatUndo(undo: string | undefined, revision: number): string {
  if (undo !== undefined) return `undo: limpettrack ${undo}`;
  if (revision === 1) return 'this is the first revision; there is none to return to';
  return `undo, if nothing else has changed since: limpettrack revision restore ${revision - 1}`;
}

function formatReport(report: ChangeReport, undo: string | undefined): string[] {
  switch (report.type) {
    case 'applied':
      return [
        `done: the change is in as revision ${report.revision}`,
        ...formatChanges(report.changes),
        ...report.keptAuthors.map((author) => `a change by ${author} came between and was kept`),
        formatUndo(undo, report.revision),
      ];
    case 'nothing':
      return [`nothing to do: revision ${report.revision} already contains this change`];
    case 'dry-run':
      return [
        `dry run: this would follow revision ${report.revision}; nothing was changed`,
        ...formatChanges(report.changes),
      ];
    case 'unknown':
      return [
        'unknown: the answer of the store was lost and the change could not be read back.',
        `It is in if "limpettrack revision show ${report.revision}" shows it; it is not in if that revision shows another change.`,
        ...formatChanges(report.changes),
      ];
    default:
      return formatConflict(report);
  }
}

const exitCodeByType: Readonly<Record<ChangeReport['type'], ExitCode>> = {
  applied: exitCodes.done,
  nothing: exitCodes.done,
  'dry-run': exitCodes.done,
  conflict: exitCodes.conflict,
  unknown: exitCodes.unknown,
};

/** Base class of the commands that change the configuration. */
export abstract class ChangeCommand extends OperatorCommand {
  public dryRun = Option.Boolean('--dry-run', false, {
    description: 'show what would change and change nothing',
  });

  public base = Option.String('--base', {
    description: 'revision that you looked at; a later change of the same thing is a conflict',
  });

  /**
   * Makes a change, writes the report and returns its exit code.
   *
   * @param fileBase Base revision that a file gives; `--base` overrides it.
   */
  protected async change(plan: ChangePlan, fileBase?: number): Promise<ExitCode> {
    const runner = new ChangeRunner(await this.openEditor(), this.context.clock);
    const base =
      this.base === undefined ? fileBase : ChangeCommand.parse('--base', integer(), this.base);
    const { author } = await this.connections();
    const options = { author, isDryRun: this.dryRun, ...(base === undefined ? {} : { base }) };
    const result = await runner.run(plan, options);
    if (isLeft(result)) return this.refuse(result.left);
    this.write(result.right, formatReport(result.right, plan.undo));
    return exitCodeByType[result.right.type];
  }
}
