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
import { WriteOutcomeResolver } from './WriteOutcomeResolver.js';
import { compareConfigurations, findOverlap } from './configurationDiff.js';
import type { EditRefusal } from './edits.js';
import { emptyContent } from '../common/configuration/emptyContent.js';
import { exitCodes } from './exitCodes.js';
import type { ChangeConflict, ChangeOptions, ChangePlan, ChangeReport } from './Types.js';

/** Write attempts before a change fails because concurrent changes keep coming first. */
const maxAttempts = 8;

type WriteResult = ChangeResult | { readonly type: 'unknown' };

/** Makes a change: reads, edits, writes, and resolves conflicts and lost answers. */
export class ChangeRunner {
  private readonly outcomeResolver: WriteOutcomeResolver;

  public constructor(
    private readonly editor: ConfigurationEditor,
    clock: Clock,
  ) {
    this.outcomeResolver = new WriteOutcomeResolver(editor, clock);
  }

  /**
   * Makes a change. Concurrent changes of other documents are kept; those of the same documents are a conflict.
   * Throws `StoreError` when the change was definitely not applied.
   */
  public async run(
    plan: ChangePlan,
    options: ChangeOptions,
  ): Promise<Either<EditRefusal, ChangeReport>> {
    let current = await this.editor.read();
    const base = await this.readBase(current, options.base);
    const keptAuthors: string[] = [];
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const conflict = await this.findConflict(plan, base, current);
      if (conflict !== undefined) return right(conflict);
      const edited = plan.edit(current.configuration);
      if (isLeft(edited)) return edited;
      const { revision } = current.configuration;
      const changes = compareConfigurations(current.configuration, edited.right);
      if (changes.length === 0) return right({ type: 'nothing', revision });
      if (options.isDryRun) return right({ type: 'dry-run', revision, changes });
      const note = { author: options.author, summary: plan.summary };
      const result = await this.write(current, edited.right, note);
      if (result.type === 'unknown') {
        return right({ type: 'unknown', revision: revision + 1, changes });
      }
      if (result.type === 'applied') {
        return right({ type: 'applied', revision: result.head.revision, changes, keptAuthors });
      }
      current = result.present;
      keptAuthors.push(current.head?.author ?? 'unknown');
    }
    return left({
      exitCode: exitCodes.conflict,
      message: `the configuration changed ${maxAttempts} times during this change; it is not in`,
    });
  }

  private async readBase(
    current: ConfigurationSnapshot,
    revision: number | undefined,
  ): Promise<Configuration> {
    const isCurrent = revision === undefined || revision === current.configuration.revision;
    if (isCurrent) return current.configuration;
    if (revision === 0) return { revision: brandAs<Revision>(0), ...emptyContent };
    return this.editor.readRevision(brandAs<Revision>(revision));
  }

  private async write(
    current: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<WriteResult> {
    try {
      return await this.editor.change(current, wanted, note);
    } catch (error) {
      if (!(error instanceof StoreError) || error.outcome === 'not-applied') throw error;
      return this.resolveUnknownOutcome(current, wanted, note);
    }
  }

  /** Determines the result of a write whose answer was lost. */
  private async resolveUnknownOutcome(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<WriteResult> {
    const outcome = await this.outcomeResolver.resolve(base, wanted, note);
    if (outcome === 'unknown') return { type: 'unknown' };
    const current = await this.editor.read();
    if (outcome === 'not-applied') return { type: 'conflict', base, wanted, present: current };
    const head = (await this.editor.history()).find(
      ({ revision }) => revision === base.configuration.revision + 1,
    );
    return head === undefined ? { type: 'unknown' } : { type: 'applied', head };
  }

  private async findConflict(
    plan: ChangePlan,
    base: Configuration,
    current: ConfigurationSnapshot,
  ): Promise<ChangeConflict | undefined> {
    const { configuration } = current;
    if (base.revision === configuration.revision) return undefined;
    const edited = plan.edit(base);
    const wantedContent = isLeft(edited) ? base : edited.right;
    const ours = compareConfigurations(base, wantedContent);
    const theirs = compareConfigurations(base, configuration);
    const conflicting = new Set([
      ...findOverlap(ours, theirs),
      ...theirs
        .map(({ document }) => document)
        .filter((document) => plan.reliesOn === 'everything' || plan.reliesOn?.includes(document)),
    ]);
    if (conflicting.size === 0) return undefined;
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
      overlap: [...conflicting],
      wantedContent,
      presentContent: configuration,
    };
  }
}
