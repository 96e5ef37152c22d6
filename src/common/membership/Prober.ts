import { sampleItems } from '../base/index.js';
import type { Clock, RandomSource } from '../base/index.js';
import type { MemberTable } from './MemberTable.js';
import type { MemberRecord, PeerLink } from './Types.js';

/** Milliseconds until a direct probe counts as failed; 25 times the round trip between regions. */
export const directProbeTimeoutMs = 500;

/** Milliseconds until the indirect probes count as failed; the helper itself waits `directTimeout`. */
export const indirectProbeTimeoutMs = 750;

/** Daemons that are asked to probe a member that did not answer directly. */
export const indirectProbeCount = 3;

/**
 * A timer that is later than this many milliseconds shows that this process was paused. What it then believes of
 * others is stale: their answers wait unread in its sockets.
 */
export const pauseThresholdMs = 400;

/** How a check of a member ended; `void` means that this process was paused meanwhile. */
export type Reachability = 'direct' | 'indirect' | 'failed' | 'void';

/** Parts that probing works with. */
export interface ProberOptions {
  readonly table: MemberTable;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Finds out if a member can be reached, directly or through other daemons. */
export class Prober {
  public constructor(private readonly options: ProberOptions) {}

  /** Probes directly, then through helpers. */
  public async probe(member: MemberRecord): Promise<Reachability> {
    const { link } = this.options;
    const direct = await this.attempt(directProbeTimeoutMs, [() => link.probe(member.address)]);
    if (direct !== 'failed') return direct === 'reached' ? 'direct' : 'void';
    const indirect = await this.attempt(indirectProbeTimeoutMs, this.indirectProbes(member));
    return indirect === 'reached' ? 'indirect' : indirect;
  }

  private indirectProbes(member: MemberRecord): (() => Promise<boolean>)[] {
    const { link, random, table } = this.options;
    const helpers = table
      .live()
      .filter(({ id, status }) => status === 'alive' && id !== member.id && id !== table.self.id);
    return sampleItems(random, helpers, indirectProbeCount).map(
      ({ address }) =>
        () =>
          link.probe(address, member.id),
    );
  }

  /** Waits for the first probe that succeeds. */
  private attempt(
    timeout: number,
    probes: readonly (() => Promise<boolean>)[],
  ): Promise<'reached' | 'failed' | 'void'> {
    const { clock } = this.options;
    const due = clock.elapsed() + timeout;
    return new Promise((resolve) => {
      const timer = clock.after(timeout, () => {
        resolve(clock.elapsed() - due > pauseThresholdMs ? 'void' : 'failed');
      });
      probes.forEach((probe) => {
        const succeed = (isReached: boolean): void => {
          if (!isReached) return;
          timer.dispose();
          resolve('reached');
        };
        probe().then(succeed, () => {});
      });
    });
  }
}
