import type { RandomSource } from '../../api/index.js';
import type { AdmissionFleet } from './AdmissionFleet.js';
import type {
  Observation,
  RequestKind,
  RunSettings,
  SimulatedEntry,
  SimulatedRequest,
} from './Types.js';

/** Share of requests whose service time is `stragglerFactor` times longer. */
const stragglerShare = 0.005;

const stragglerFactor = 10;

/** Standard deviation of the logarithm of the service time. */
const serviceTimeSigma = 0.3;

/** Initial and maximum backoff of a caller after a refusal. */
const initialBackoffMs = 250;

const maxBackoffMs = 4_000;

/** Time that a run continues after the last arrival, so that all requests finish. */
const drainMs = 60_000;

/** Log-normal service time with the given mean in milliseconds; a few requests are stragglers. */
export function sampleServiceTime(mean: number, random: RandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const factor = random() < stragglerShare ? stragglerFactor : 1;
  return (
    mean * factor * Math.exp(serviceTimeSigma * normal - (serviceTimeSigma * serviceTimeSigma) / 2)
  );
}

/** Open-loop callers: Poisson arrivals at a given rate, independent of how earlier requests end. */
export class Traffic {
  public readonly observations: Observation[] = [];

  private count = 0;

  public constructor(
    private readonly fleet: AdmissionFleet,
    private readonly entries: readonly SimulatedEntry[],
    private readonly settings: RunSettings,
  ) {}

  /** Runs the traffic to its end on the virtual clock. */
  public run(): readonly Observation[] {
    const { clock } = this.fleet;
    this.settings.events?.forEach(({ at, action }) => clock.after(at, () => action(this.fleet)));
    this.scheduleNext();
    clock.advance(this.settings.duration + drainMs);
    return this.observations;
  }

  private scheduleNext(): void {
    const { clock, random } = this.fleet;
    const rate = this.settings.rateAt(clock.elapsed());
    const interval = (-Math.log(1 - random()) / rate) * 1_000;
    clock.after(interval, () => {
      if (clock.elapsed() >= this.settings.duration) return;
      this.sendNew();
      this.scheduleNext();
    });
  }

  private sendNew(): void {
    this.count += 1;
    const kind = this.pickKind();
    const request = {
      kind,
      serviceTime: sampleServiceTime(kind.meanServiceTime, this.fleet.random),
      arrivedAt: 0,
      id: String(this.count),
    };
    this.send(request, this.fleet.clock.elapsed(), 0);
  }

  private send(
    request: Omit<SimulatedRequest, 'arrivedAt'>,
    firstSentAt: number,
    refusals: number,
  ): void {
    const { clock, random } = this.fleet;
    const entry = this.entries[Math.floor(random() * this.entries.length)];
    entry?.send({ ...request, arrivedAt: clock.elapsed() }, (result) => {
      const now = clock.elapsed();
      const backoff = Traffic.backoffAfter(refusals, result.retryAfter) * (1 + random());
      const mayRetry = now + backoff - firstSentAt <= request.kind.maxRetryDuration;
      if (result.type === 'refused' && mayRetry) {
        clock.after(backoff, () => this.send(request, firstSentAt, refusals + 1));
      } else {
        const finalResult = { ...result, latency: now - firstSentAt };
        this.observations.push({
          request: { ...request, arrivedAt: firstSentAt },
          result: finalResult,
          refusals,
        });
      }
    });
  }

  /** Backoff in milliseconds: doubles with each refusal and is at least `Retry-After`, up to the maximum. */
  private static backoffAfter(refusals: number, retryAfter: number): number {
    return Math.min(maxBackoffMs, Math.max(retryAfter, initialBackoffMs * 2 ** refusals));
  }

  private pickKind(): RequestKind {
    let point = this.fleet.random();
    const found = this.settings.kinds.find(({ share }) => {
      point -= share;
      return point < 0;
    });
    return (found ?? this.settings.kinds[0]) as RequestKind;
  }
}
