import { sampleItems } from '../base/index.js';
import type { DaemonId, RandomSource } from '../base/index.js';
import type { FaultDiagnosis } from './Types.js';

/** Number of daemons asked to probe; each probe costs the target about 25 ms. */
const proberCount = 2;

/** Result of a probe by another daemon; undefined if the daemon itself did not respond. */
export type RemoteProbe = (
  daemon: DaemonId,
  address: string,
) => Promise<{ readonly isReachable: boolean } | undefined>;

/** Dependencies of an indirect prober. */
export interface IndirectProberOptions {
  /** Live daemons other than this one. */
  readonly others: () => readonly DaemonId[];
  readonly probeFrom: RemoteProbe;
  /** Probe of the target by this daemon itself. */
  readonly probeHere: (address: string) => Promise<{ readonly isReachable: boolean }>;
  readonly random: RandomSource;
}

/** Distinguishes a faulty target from a faulty path by asking two other daemons to probe the target. */
export class IndirectProber {
  private readonly running = new Map<string, Promise<FaultDiagnosis>>();

  public constructor(private readonly options: IndirectProberOptions) {}

  /** Diagnosis of the target at `address`; concurrent calls share one round of probes. Never rejects. */
  public diagnose(address: string): Promise<FaultDiagnosis> {
    const running = this.running.get(address);
    if (running !== undefined) return running;
    const diagnosis = this.probeAll(address)
      .catch((): FaultDiagnosis => 'unclear')
      .finally(() => this.running.delete(address));
    this.running.set(address, diagnosis);
    return diagnosis;
  }

  private async probeAll(address: string): Promise<FaultDiagnosis> {
    const probers = sampleItems(this.options.random, this.options.others(), proberCount);
    const [localResult, ...remoteResults] = await Promise.all([
      this.options.probeHere(address),
      ...probers.map((daemon) => this.options.probeFrom(daemon, address)),
    ]);
    // This path works, so the target caused the failure of the request.
    if (localResult.isReachable) return 'target-faulty';
    const responses = remoteResults.filter((response) => response !== undefined);
    if (responses.some((response) => response.isReachable)) return 'path-faulty';
    // If no daemon responds, this home may be cut off itself. Without other daemons only its own probe counts.
    return responses.length === 0 && probers.length > 0 ? 'unclear' : 'target-faulty';
  }
}
