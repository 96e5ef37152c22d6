import { sampleItems } from '../base/index.js';
import type { DaemonId, RandomSource } from '../base/index.js';
import type { FaultDiagnosis } from './Types.js';

/** Daemons that are asked, as a probe costs the target about 25 ms. */
const askedCount = 2;

/** Answer of one daemon that was asked to probe a target; undefined if the daemon itself did not answer. */
export type RemoteProbe = (
  daemon: DaemonId,
  address: string,
) => Promise<{ readonly isReachable: boolean } | undefined>;

/** What a second opinion is formed from. */
export interface IndirectProberOptions {
  /** Live daemons other than this one. */
  readonly others: () => readonly DaemonId[];
  readonly probeFrom: RemoteProbe;
  /** Probe of the target by this daemon itself. */
  readonly probeHere: (address: string) => Promise<{ readonly isReachable: boolean }>;
  readonly random: RandomSource;
}

/** Tells a faulty target from a faulty path by asking two other daemons to probe the target. */
export class IndirectProber {
  private readonly running = new Map<string, Promise<FaultDiagnosis>>();

  public constructor(private readonly sources: IndirectProberOptions) {}

  /** Opinion on the target at `address`; questions asked at the same time share one answer. Never rejects. */
  public diagnose(address: string): Promise<FaultDiagnosis> {
    const running = this.running.get(address);
    if (running !== undefined) return running;
    const opinion = this.form(address)
      .catch((): FaultDiagnosis => 'unclear')
      .finally(() => this.running.delete(address));
    this.running.set(address, opinion);
    return opinion;
  }

  private async form(address: string): Promise<FaultDiagnosis> {
    const asked = sampleItems(this.sources.random, this.sources.others(), askedCount);
    const [here, ...there] = await Promise.all([
      this.sources.probeHere(address),
      ...asked.map((daemon) => this.sources.probeFrom(daemon, address)),
    ]);
    // This path works, so the failure of the request was the target's.
    if (here.isReachable) return 'target-faulty';
    const answers = there.filter((answer) => answer !== undefined);
    if (answers.some((answer) => answer.isReachable)) return 'path-faulty';
    // A home that reaches nobody is cut off itself; a home without other daemons can only trust itself.
    return answers.length === 0 && asked.length > 0 ? 'unclear' : 'target-faulty';
  }
}
