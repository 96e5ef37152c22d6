import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { StoreError, brandAs } from '../common/base/index.js';
import type { Clock, Revision } from '../common/base/index.js';
import type {
  ChangeNote,
  ChangeResult,
  Configuration,
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationSnapshot,
} from '../common/configuration/Types.js';
import { AnswerRecovery } from './AnswerRecovery.js';
import { compareConfigurations, findOverlap } from './configurationDiff.js';
import type { EditRefusal } from './edits.js';
import { emptyContent } from '../common/configuration/emptyContent.js';
import { exitCodes } from './exitCodes.js';
import type { ChangeConflict, ChangeOptions, ChangePlan, ChangeReport } from './Types.js';

/** Writers that can be ahead of a change before it is given up. */
const maxAttempts = 8;

type Written = ChangeResult | { readonly type: 'unknown' };

/** Makes a change: reads, edits, writes, and settles conflicts and lost answers. */
export class ChangeRunner {
  private readonly recovery: AnswerRecovery;

  public constructor(
    private readonly editor: ConfigurationEditor,
    clock: Clock,
  ) {
    this.recovery = new AnswerRecovery(editor, clock);
  }

  /**
   * Makes a change. Other changes that came between are kept when they touch other documents, and are a conflict
   * otherwise. Throws `StoreError` when the change is surely not in.
   */
  public async run(
    plan: ChangePlan,
    options: ChangeOptions,
  ): Promise<Either<EditRefusal, ChangeReport>> {
    let present = await this.editor.read();
    const base = await this.readBase(present, options.base);
    const keptAuthors: string[] = [];
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const conflict = await this.findConflict(plan, base, present);
      if (conflict !== undefined) return right(conflict);
      const edited = plan.edit(present.configuration);
      if (isLeft(edited)) return edited;
      const { revision } = present.configuration;
      const changes = compareConfigurations(present.configuration, edited.right);
      if (changes.length === 0) return right({ type: 'nothing', revision });
      if (options.isDryRun) return right({ type: 'dry-run', revision, changes });
      const note = { author: options.author, summary: plan.summary };
      const result = await this.write(present, edited.right, note);
      if (result.type === 'unknown') {
        return right({ type: 'unknown', revision: revision + 1, changes });
      }
      if (result.type === 'applied') {
        return right({ type: 'applied', revision: result.head.revision, changes, keptAuthors });
      }
      present = result.present;
      keptAuthors.push(present.head?.author ?? 'unknown');
    }
    return left({
      exitCode: exitCodes.conflict,
      message: `the configuration changed ${maxAttempts} times during this change; it is not in`,
    });
  }

  private async readBase(
    present: ConfigurationSnapshot,
    revision: number | undefined,
  ): Promise<Configuration> {
    const isPresent = revision === undefined || revision === present.configuration.revision;
    if (isPresent) return present.configuration;
    if (revision === 0) return { revision: brandAs<Revision>(0), ...emptyContent };
    return this.editor.readRevision(brandAs<Revision>(revision));
  }

  private async write(
    present: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<Written> {
    try {
      return await this.editor.change(present, wanted, note);
    } catch (error) {
      if (!(error instanceof StoreError) || error.outcome === 'not-applied') throw error;
      return this.settle(present, wanted, note);
    }
  }

  /** Turns a lost answer into the result that the write had. */
  private async settle(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<Written> {
    const recovered = await this.recovery.resolve(base, wanted, note);
    if (recovered === 'unknown') return { type: 'unknown' };
    const present = await this.editor.read();
    if (recovered === 'not-applied') return { type: 'conflict', base, wanted, present };
    const head = (await this.editor.history()).find(
      ({ revision }) => revision === base.configuration.revision + 1,
    );
    return head === undefined ? { type: 'unknown' } : { type: 'applied', head };
  }

  private async findConflict(
    plan: ChangePlan,
    base: Configuration,
    present: ConfigurationSnapshot,
  ): Promise<ChangeConflict | undefined> {
    const { configuration } = present;
    if (base.revision === configuration.revision) return undefined;
    const wanted = plan.edit(base);
    const wantedContent = isLeft(wanted) ? base : wanted.right;
    const ours = compareConfigurations(base, wantedContent);
    const theirs = compareConfigurations(base, configuration);
    const touched = new Set([
      ...findOverlap(ours, theirs),
      ...theirs
        .map(({ document }) => document)
        .filter((document) => plan.reliesOn === 'everything' || plan.reliesOn?.includes(document)),
    ]);
    if (touched.size === 0) return undefined;
    const heads = await this.editor.history();
    return {
      type: 'conflict',
      base: base.revision,
      present: configuration.revision,
      between: heads
        .filter(({ revision }) => revision > base.revision && revision <= configuration.revision)
        .map(({ revision, author, summary }) => ({ revision, author, summary }))
        .reverse(),
      ours,
      theirs,
      overlap: [...touched],
      wantedContent,
      presentContent: configuration,
    };
  }
}
