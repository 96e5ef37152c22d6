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

/** Default round-trip time to each locality in milliseconds, as in the deployments. */
const defaultRoundTrip: Readonly<Record<Locality, number>> = {
  'data-centre': 0,
  region: 1,
  'other-region': 40,
};

const usableStates: ReadonlySet<TargetState> = new Set(['starting', 'active', 'suspect', 'trial']);

/** Assumed size in bytes of a response of unknown size. */
const assumedBytes = 8_192;

/**
 * Milliseconds added to the cost of a target that always fails. Without this penalty, a target that fails fast
 * looks idle and attracts most requests until it is a suspect.
 */
const failurePenalty = 500;

/** A candidate with the values used for the comparison. */
interface Candidate {
  readonly target: TargetEntry;
  readonly locality: Locality;
  readonly hasFreeSlot: boolean;
  /** Milliseconds. */
  readonly wait: number;
  /** Milliseconds of expected wait, round trip, and penalties for failures and the path. */
  readonly cost: number;
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

  /** Chooses among the targets of the request's service by the estimates of `load`. */
  public choose(
    request: SelectionRequest,
    candidates: readonly TargetEntry[],
    load: LoadView,
  ): Either<SelectionRefusal, SelectedTarget> {
    const usable = this.findUsable(request, candidates, load);
    for (const pool of Selector.orderPools(usable)) {
      const selected = this.chooseFrom(pool, request);
      if (selected !== undefined) return right({ ...selected, candidates: usable.length });
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
    const cheapestNear = Selector.findCheapest(near);
    const cheapestFar = Selector.findCheapest(far);
    const isFarCheaper =
      cheapestFar !== undefined && cheapestFar.cost < (cheapestNear?.cost ?? Infinity);
    const isFar = isFarCheaper && this.settings.crossRegion.reserve(context.service, bytes);
    const best = isFar ? cheapestFar : cheapestNear;
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
    const eligible = usable.filter(({ id }) => avoid?.has(id) !== true);
    return eligible.map((target) => this.assess(target, load, context.route));
  }

  private assess(target: TargetEntry, load: LoadView, route: string): Candidate {
    const locality = this.localityOf(target.location);
    const estimate = load.estimate(target, route);
    // A target with a reduced share of traffic counts with the same share of its slots.
    const slots = Math.max(estimate.slots * target.share, Number.EPSILON);
    const wait = (Math.max(0, estimate.total) / slots) * estimate.serviceTime;
    return {
      target,
      locality,
      hasFreeSlot: estimate.total < estimate.slots,
      wait,
      cost:
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

  /** Suspects are used only when no healthy target has a free slot, and full targets only when no target has one. */
  private static orderPools(candidates: readonly Candidate[]): readonly (readonly Candidate[])[] {
    const healthy = candidates.filter(({ target }) => target.status !== 'suspect');
    const hasFree = healthy.some(({ hasFreeSlot }) => hasFreeSlot);
    const freeSuspects = candidates.filter(
      ({ target, hasFreeSlot }) => target.status === 'suspect' && hasFreeSlot,
    );
    return [hasFree ? healthy : [], freeSuspects, healthy, candidates];
  }

  /** Two random candidates of each locality; the nearer ones win unless their wait outweighs the path. */
  private sample(pool: readonly Candidate[], allowed: readonly Locality[]): readonly Candidate[] {
    return allowed.flatMap((locality) =>
      this.sampleTwo(pool.filter((each) => each.locality === locality)),
    );
  }

  private static findCheapest(sample: readonly Candidate[]): Candidate | undefined {
    return sample.reduce<Candidate | undefined>(
      (least, each) => (least === undefined || each.cost < least.cost ? each : least),
      undefined,
    );
  }

  private sampleTwo(pool: readonly Candidate[]): readonly Candidate[] {
    const ready = pool.filter(({ target, hasFreeSlot }) => target.share >= 1 || hasFreeSlot);
    const drawn = this.drawByShare(ready.length > 0 ? ready : pool);
    if (drawn === undefined) return [];
    // A target with a reduced share is not compared: being idle, it would win most comparisons and exceed its share.
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
