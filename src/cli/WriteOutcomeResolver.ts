import { StoreError } from '../common/base/index.js';
import type { Clock } from '../common/base/index.js';
import type {
  ChangeNote,
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationSnapshot,
} from '../common/configuration/Types.js';
import { compareConfigurations } from './configurationDiff.js';

/** What reading back tells about a change whose answer from the store was lost. */
export type ResolvedOutcome = 'applied' | 'not-applied' | 'unknown';

const maxAttempts = 4;
/** Milliseconds before the second attempt; doubled for each further one. */
const initialRetryDelay = 250;

/**
 * Determines by reading back whether a change was applied. An unchanged head proves nothing, because the write can
 * still be in flight; only a different change at the expected revision proves that it was not applied.
 */
export class WriteOutcomeResolver {
  public constructor(
    private readonly editor: ConfigurationEditor,
    private readonly clock: Clock,
  ) {}

  /** Reads back until the outcome is known or the attempts are used up. */
  public async resolve(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<ResolvedOutcome> {
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt > 0) await this.wait(initialRetryDelay * 2 ** (attempt - 1));
      const outcome = await this.readBack(base, wanted, note);
      if (outcome !== 'unknown') return outcome;
    }
    return 'unknown';
  }

  private async readBack(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<ResolvedOutcome> {
    try {
      const next = base.configuration.revision + 1;
      const head = (await this.editor.history()).find(({ revision }) => revision === next);
      if (head === undefined) return 'unknown';
      if (head.author !== note.author || head.summary !== note.summary) return 'not-applied';
      const content = await this.editor.readRevision(head.revision);
      return compareConfigurations(content, wanted).length === 0 ? 'applied' : 'not-applied';
    } catch (error) {
      if (error instanceof StoreError) return 'unknown';
      throw error;
    }
  }

  private wait(duration: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(duration, resolve);
    });
  }
}
