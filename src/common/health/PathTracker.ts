import type { DaemonId } from '../base/index.js';
import { SequentialTest } from './SequentialTest.js';

/** How the hop from this entry to a home went; failures of the target itself are not path failures. */
export type PathOutcome = 'reached' | 'connect-failed' | 'reset' | 'timeout';

const hypotheses = { healthy: 0.01, sick: 0.25 };
/** Milliseconds; the path is tried again after about a minute without new failures. */
const halfLife = 10_000;
/** Score at which a home has half its normal preference. */
const halfPreferenceScore = 3;
/** Even a cut path keeps a small preference, so that its recovery is noticed. */
const lowestPreference = 0.02;

/**
 * Evidence of an entry on its paths to the homes. It lowers only this entry's preference: other entries may reach the
 * home well, so the evidence never leaves the process and never ejects.
 */
export class PathTracker {
  private readonly paths = new Map<DaemonId, SequentialTest>();

  /** Adds the outcome of one hop at `now` (monotonic milliseconds). */
  public record(home: DaemonId, outcome: PathOutcome, now: number): void {
    const isBad = outcome !== 'reached';
    let path = this.paths.get(home);
    if (path === undefined) {
      // Most paths never fail, so a path is only remembered from its first failure on.
      if (!isBad) return;
      path = new SequentialTest(hypotheses, halfLife);
      this.paths.set(home, path);
    }
    path.add(isBad, now);
    if (path.score(now) === 0) this.paths.delete(home);
  }

  /** Factor in (0, 1] on the entry's preference for targets of this home. */
  public preference(home: DaemonId, now: number): number {
    const score = this.paths.get(home)?.score(now) ?? 0;
    return Math.max(lowestPreference, 0.5 ** (score / halfPreferenceScore));
  }

  /** Forgets a home that has left the fleet. */
  public forget(home: DaemonId): void {
    this.paths.delete(home);
  }
}
