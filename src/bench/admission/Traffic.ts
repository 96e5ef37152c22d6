import type { RandomSource } from '../../api/index.js';
import type { Fleet } from './Fleet.js';
import type {
  Observation,
  RequestKind,
  RunSettings,
  SimulatedEntry,
  SimulatedRequest,
} from './Types.js';

/** Share of requests that run many times longer than the rest. */
const stragglerShare = 0.005;

const stragglerFactor = 10;

/** Spread of service times: standard deviation of their logarithm. */
const spread = 0.3;

/** Bounds of the time that a refused caller waits before it tries again, in milliseconds. */
const firstPause = 250;

const longestPause = 4_000;

/** Milliseconds that a run goes on after the last arrival, so that all requests end. */
const tail = 60_000;

/** Log-normal service time with the given mean in milliseconds; a few requests are stragglers. */
export function drawWork(mean: number, random: RandomSource): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const factor = random() < stragglerShare ? stragglerFactor : 1;
  return mean * factor * Math.exp(spread * normal - (spread * spread) / 2);
}

/** Open-loop callers: requests arrive at random at a given rate, whatever happens to earlier ones. */
export class Traffic {
  public readonly observations: Observation[] = [];

  private count = 0;

  public constructor(
    private readonly fleet: Fleet,
    private readonly entries: readonly SimulatedEntry[],
    private readonly settings: RunSettings,
  ) {}

  /** Runs to the end on the virtual clock. */
  public run(): readonly Observation[] {
    const { clock } = this.fleet;
    this.settings.onTime?.forEach(({ at, action }) => clock.after(at, () => action(this.fleet)));
    this.scheduleNext();
    clock.advance(this.settings.duration + tail);
    return this.observations;
  }

  private scheduleNext(): void {
    const { clock, random } = this.fleet;
    const rate = this.settings.rateAt(clock.elapsed());
    const pause = (-Math.log(1 - random()) / rate) * 1_000;
    clock.after(pause, () => {
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
      work: drawWork(kind.work, this.fleet.random),
      arrived: 0,
      id: String(this.count),
    };
    this.send(request, this.fleet.clock.elapsed(), 0);
  }

  private send(request: Omit<SimulatedRequest, 'arrived'>, first: number, refusals: number): void {
    const { clock, random } = this.fleet;
    const entry = this.entries[Math.floor(random() * this.entries.length)];
    entry?.send({ ...request, arrived: clock.elapsed() }, (result) => {
      const now = clock.elapsed();
      const pause = Traffic.pauseAfter(refusals, result.retryAfter) * (1 + random());
      const isPatient = now + pause - first <= request.kind.patience;
      if (result.type === 'refused' && isPatient) {
        clock.after(pause, () => this.send(request, first, refusals + 1));
      } else {
        const whole = { ...result, latency: now - first };
        this.observations.push({
          request: { ...request, arrived: first },
          result: whole,
          refusals,
        });
      }
    });
  }

  /** Callers double their pause with each refusal and heed `Retry-After`. */
  private static pauseAfter(refusals: number, retryAfter: number): number {
    return Math.min(longestPause, Math.max(retryAfter, firstPause * 2 ** refusals));
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
