import { sampleItems } from '../base/index.js';
import type { Clock, RandomSource } from '../base/index.js';
import type { MemberTable } from './MemberTable.js';
import type { MemberRecord, PeerLink } from './Types.js';

/** A direct probe fails after this time, 25 times the round trip between regions. */
export const directProbeTimeoutMs = 500;

/** Indirect probes fail after this time; each helper needs up to `directProbeTimeoutMs` for its own probe. */
export const indirectProbeTimeoutMs = 750;

/** Helpers (other daemons) that are asked to probe a member that did not answer a direct probe. */
export const indirectProbeCount = 3;

/**
 * A timer that fires later than this shows that this process was paused. Its failure evidence is then void, since
 * answers may be waiting unread in its sockets.
 */
export const pauseThresholdMs = 400;

/** Result of probing a member; `void` means that this process was paused during the probe. */
export type Reachability = 'direct' | 'indirect' | 'failed' | 'void';

/** Dependencies of a prober. */
export interface ProberOptions {
  readonly table: MemberTable;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly random: RandomSource;
}

/** Probes members directly and through other daemons. */
export class Prober {
  public constructor(private readonly options: ProberOptions) {}

  /** Probes a member directly and, if that fails, through helpers. */
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
