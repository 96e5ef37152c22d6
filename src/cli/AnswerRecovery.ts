import { StoreError } from '../common/base/index.js';
import type { Clock } from '../common/base/index.js';
import type {
  ChangeNote,
  ConfigurationContent,
  ConfigurationEditor,
  ConfigurationSnapshot,
} from '../common/configuration/Types.js';
import { compareConfigurations } from './configurationDiff.js';

/** What is known of a change whose answer was lost. */
export type Recovered = 'applied' | 'not-applied' | 'unknown';

const attempts = 4;
/** Milliseconds before the second reading; doubled for each further one. */
const firstPause = 250;

/**
 * Finds out by reading back whether a change is in. A head that has not moved proves nothing, because the write can
 * still be on its way; only another revision in its place proves that it is not in.
 */
export class AnswerRecovery {
  public constructor(
    private readonly editor: ConfigurationEditor,
    private readonly clock: Clock,
  ) {}

  /** Reads back until it is known or the attempts are used up. */
  public async resolve(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<Recovered> {
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      if (attempt > 0) await this.wait(firstPause * 2 ** (attempt - 1));
      const found = await this.read(base, wanted, note);
      if (found !== 'unknown') return found;
    }
    return 'unknown';
  }

  private async read(
    base: ConfigurationSnapshot,
    wanted: ConfigurationContent,
    note: ChangeNote,
  ): Promise<Recovered> {
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
