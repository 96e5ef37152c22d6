import type { DaemonId } from '../base/index.js';
import { SequentialTest } from './SequentialTest.js';

/** Outcome of a request from this entry to a home; failures of the target itself are not path failures. */
export type PathOutcome = 'reached' | 'connect-failed' | 'reset' | 'timeout';

const hypotheses = { healthy: 0.01, sick: 0.25 };
/** Milliseconds; a path regains its full preference after about a minute without failures. */
const halfLife = 10_000;
/** Score at which the preference is halved. */
const halfPreferenceScore = 3;
/** Preference of a failed path; above 0, so that its recovery is detected. */
const minPreference = 0.02;

/**
 * Tracks failures on the network paths from this entry to the homes. They lower only the preference of this entry:
 * other entries may reach the home, so the evidence stays in the process and ejects no target.
 */
export class PathTracker {
  private readonly paths = new Map<DaemonId, SequentialTest>();

  /** Times of the last failures that were counted. */
  private readonly failedAt = new Map<DaemonId, number>();

  /**
   * Records the outcome of one request that began at `startedAt` and ended at `now` (monotonic milliseconds). All requests
   * on a connection fail with it, so failures of requests that began before the last failure count as the same event.
   */
  public record(home: DaemonId, outcome: PathOutcome, now: number, startedAt = now): void {
    const isBad = outcome !== 'reached';
    if (isBad && startedAt < (this.failedAt.get(home) ?? -Infinity)) return;
    if (isBad) this.failedAt.set(home, now);
    let path = this.paths.get(home);
    if (path === undefined) {
      // Most paths never fail, so a path is tracked from its first failure on.
      if (!isBad) return;
      path = new SequentialTest(hypotheses, halfLife);
      this.paths.set(home, path);
    }
    path.add(isBad, now);
    if (path.score(now) === 0) this.forget(home);
  }

  /** Weight in (0, 1] for targets of this home. */
  public preference(home: DaemonId, now: number): number {
    const score = this.paths.get(home)?.score(now) ?? 0;
    return Math.max(minPreference, 0.5 ** (score / halfPreferenceScore));
  }

  /** Removes a home that has left the fleet. */
  public forget(home: DaemonId): void {
    this.paths.delete(home);
    this.failedAt.delete(home);
  }
}
