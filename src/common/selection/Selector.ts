import { left, right, type Either } from 'fp-ts/lib/Either.js';
import type { RandomSource } from '../base/index.js';
import type { Location, TargetEntry, TargetState } from '../services/Types.js';
import type {
  SelectedTarget,
  LoadView,
  Locality,
  SelectionRequest,
  SelectionRefusal,
  SelectorSettings,
} from './Types.js';

/** Round trips of the deployments in milliseconds. */
const defaultRoundTrip: Readonly<Record<Locality, number>> = {
  'data-centre': 0,
  region: 1,
  'other-region': 40,
};

const usableStates: ReadonlySet<TargetState> = new Set(['starting', 'active', 'suspect', 'trial']);

/** Bytes assumed of an answer whose size is not known. */
const assumedBytes = 8_192;

/**
 * Milliseconds of wait that a target which always fails counts as. Without this a target that fails at once
 * looks idle and draws most of the requests until it is a suspect.
 */
const failurePenalty = 500;

/** A candidate with what the comparison needs. */
interface Candidate {
  readonly target: TargetEntry;
  readonly locality: Locality;
  readonly hasFreeSlot: boolean;
  /** Milliseconds. */
  readonly wait: number;
  /** Milliseconds of wait, round trip and path penalty. */
  readonly rank: number;
}

/** Chooses a target for each request of this entry. */
export class Selector {
  private readonly roundTrip: Readonly<Record<Locality, number>>;

  public constructor(
    private readonly location: Location,
    private readonly random: RandomSource,
    private readonly settings: SelectorSettings,
  ) {
    this.roundTrip = settings.roundTrip ?? defaultRoundTrip;
  }

  /** Chooses among the targets of the request's service, of which `load` gives the estimated load. */
  public choose(
    selection: SelectionRequest,
    candidates: readonly TargetEntry[],
    load: LoadView,
  ): Either<SelectionRefusal, SelectedTarget> {
    const usable = this.findUsable(selection, candidates, load);
    for (const pool of Selector.orderPools(usable)) {
      const choice = this.chooseFrom(pool, selection);
      if (choice !== undefined) return right({ ...choice, candidates: usable.length });
    }
    return left(Selector.refuse(usable));
  }

  private chooseFrom(
    candidates: readonly Candidate[],
    { context, expectedBytes }: SelectionRequest,
  ): SelectedTarget | undefined {
    const near = this.sample(candidates, ['data-centre', 'region']);
    const far = this.sample(candidates, ['other-region']);
    const bytes = expectedBytes ?? assumedBytes;
    const leastNear = Selector.findLeast(near);
    const leastFar = Selector.findLeast(far);
    const isFarBetter = leastFar !== undefined && leastFar.rank < (leastNear?.rank ?? Infinity);
    const isFar = isFarBetter && this.settings.crossRegion.reserve(context.service, bytes);
    const best = isFar ? leastFar : leastNear;
    if (best === undefined) return undefined;
    return {
      step: 'selection',
      target: best.target,
      locality: best.locality,
      candidates: candidates.length,
      compared: [...near, ...far].map(({ target }) => target.id),
      expectedWait: best.wait,
      reservedBytes: isFar ? bytes : 0,
      reason: Selector.explain(best, candidates.length),
    };
  }

  private findUsable(
    { avoid, context }: SelectionRequest,
    candidates: readonly TargetEntry[],
    load: LoadView,
  ): readonly Candidate[] {
    const usable = candidates.filter(({ status }) => usableStates.has(status));
    const fresh = usable.filter(({ id }) => avoid?.has(id) !== true);
    return fresh.map((target) => this.assess(target, load, context.route));
  }

  private assess(target: TargetEntry, load: LoadView, route: string): Candidate {
    const locality = this.localityOf(target.location);
    const estimate = load.estimate(target, route);
    // A target with a part of its share has the same part of its slots for this comparison.
    const slots = Math.max(estimate.slots * target.share, Number.EPSILON);
    const wait = (Math.max(0, estimate.total) / slots) * estimate.serviceTime;
    return {
      target,
      locality,
      hasFreeSlot: estimate.total < estimate.slots,
      wait,
      rank:
        wait +
        estimate.failureShare * failurePenalty +
        this.roundTrip[locality] +
        this.settings.pathPenalty(target.home),
    };
  }

  private localityOf(location: Location): Locality {
    if (location.dataCentre === this.location.dataCentre) return 'data-centre';
    return location.region === this.location.region ? 'region' : 'other-region';
  }

  /** Suspects are used only when no other target has a free slot, and full ones only when none has. */
  private static orderPools(candidates: readonly Candidate[]): readonly (readonly Candidate[])[] {
    const sound = candidates.filter(({ target }) => target.status !== 'suspect');
    const hasFree = sound.some(({ hasFreeSlot }) => hasFreeSlot);
    const freeSuspects = candidates.filter(
      ({ target, hasFreeSlot }) => target.status === 'suspect' && hasFreeSlot,
    );
    return [hasFree ? sound : [], freeSuspects, sound, candidates];
  }

  /** Two random candidates of each locality; the nearer ones win unless their wait outweighs the path. */
  private sample(pool: readonly Candidate[], allowed: readonly Locality[]): readonly Candidate[] {
    return allowed.flatMap((locality) =>
      this.sampleTwo(pool.filter((each) => each.locality === locality)),
    );
  }

  private static findLeast(sample: readonly Candidate[]): Candidate | undefined {
    return sample.reduce<Candidate | undefined>(
      (least, each) => (least === undefined || each.rank < least.rank ? each : least),
      undefined,
    );
  }

  private sampleTwo(pool: readonly Candidate[]): readonly Candidate[] {
    const ready = pool.filter(({ target, hasFreeSlot }) => target.share >= 1 || hasFreeSlot);
    const drawn = this.drawByShare(ready.length > 0 ? ready : pool);
    if (drawn === undefined) return [];
    // An idle target wins most comparisons, so one with a part of its share would get more than that part.
    if (drawn.target.share < 1) return [drawn];
    const full = pool.filter((each) => each !== drawn && each.target.share >= 1);
    const other = full[Math.floor(this.random() * full.length)];
    return other === undefined ? [drawn] : [drawn, other];
  }

  private drawByShare(pool: readonly Candidate[]): Candidate | undefined {
    const sum = pool.reduce((total, { target }) => total + target.share, 0);
    let point = this.random() * sum;
    return (
      pool.find(({ target }) => {
        point -= target.share;
        return point < 0;
      }) ?? pool.at(-1)
    );
  }

  private static explain(best: Candidate, candidates: number): SelectedTarget['reason'] {
    if (best.target.status === 'suspect') return 'suspect-without-alternative';
    return candidates === 1 ? 'only-candidate' : 'least-wait';
  }

  private static refuse(candidates: readonly Candidate[]): SelectionRefusal {
    const message =
      candidates.length > 0
        ? 'only targets of the other region are left and its byte budget is used up'
        : 'no usable target';
    return {
      step: 'selection',
      notRun: true,
      reason: 'no-target',
      message,
      candidates: candidates.length,
    };
  }
}
