import { Command, Option } from 'clipanion';
import { StoreError } from '../../common/base/index.js';
import type { Store } from '../../common/services/Types.js';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { clearQuarantine, listQuarantine } from '../quarantine.js';

/** Removes fingerprints from the quarantine, so that their requests run again. */
export class QuarantineClearCommand extends OperatorCommand {
  public static override paths = [['quarantine', 'clear']];

  public static override usage = Command.Usage({
    category: 'Quarantine',
    description: 'let quarantined requests run again',
    details: 'There is no undo: a request that crashes two more targets is quarantined again.',
    examples: [
      ['Clear one', '$0 quarantine clear 5f2a'],
      ['Clear all', '$0 quarantine clear --all'],
    ],
  });

  public fingerprints = Option.Rest();

  public all = Option.Boolean('--all', false, { description: 'clear all' });

  public dryRun = Option.Boolean('--dry-run', false, { description: 'show what would be cleared' });

  protected override async run(): Promise<ExitCode> {
    const store = await this.openStore();
    const recorded = (await listQuarantine(store)).map(({ fingerprint }) => fingerprint);
    const chosen = this.all ? recorded : this.fingerprints;
    const missing = chosen.filter((fingerprint) => !recorded.includes(fingerprint));
    if (missing.length > 0 || chosen.length === 0) {
      const message = `not in quarantine: ${missing.join(', ') || '(nothing chosen)'}`;
      return this.refuse({ exitCode: exitCodes.notFound, message });
    }
    if (!this.dryRun) await QuarantineClearCommand.clear(store, chosen);
    const verb = this.dryRun ? 'dry run: would clear' : 'cleared';
    this.write({ cleared: chosen, isDryRun: this.dryRun }, [`${verb} ${chosen.join(', ')}`]);
    return exitCodes.done;
  }

  /** Repeats the delete once if its answer was lost, which is safe because deleting is idempotent. */
  private static async clear(store: Store, fingerprints: readonly string[]): Promise<void> {
    try {
      await clearQuarantine(store, fingerprints);
    } catch (error) {
      if (!(error instanceof StoreError) || error.outcome === 'not-applied') throw error;
      await QuarantineClearCommand.clearAgain(store, fingerprints);
    }
  }

  /** Reports any failure as outcome `unknown`, because the first delete may have been applied. */
  private static async clearAgain(store: Store, fingerprints: readonly string[]): Promise<void> {
    try {
      await clearQuarantine(store, fingerprints);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      throw new StoreError(error.message, 'unknown', { step: error.step, cause: error });
    }
  }
}
