/** Types of the target selection of an entry. */
import type { DaemonId, RefusalReason, ServiceName, TargetId } from '../base/index.js';
import type { RequestContext, TargetEntry, TargetLoad } from '../services/Types.js';

/** How far a target is from the entry. */
export type Locality = 'data-centre' | 'region' | 'other-region';

/** A request for which a target is selected. */
export interface SelectionRequest {
  readonly context: RequestContext;
  /** Targets that an earlier attempt used or that refused. */
  readonly avoid?: ReadonlySet<TargetId>;
  /** Expected bytes to the other region if the target is there. */
  readonly expectedBytes?: number;
}

/** Load of a target as estimated by the entry. */
export interface LoadEstimate {
  /** Running and queued requests of the kind at the target, including those of this entry. */
  readonly total: number;
  /** Slots that work of the kind can use. */
  readonly slots: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
  /** Milliseconds since the home last reported; Infinity if it never did. */
  readonly age: number;
  /** Failure rate of this entry's recent requests, 0 to 1; decays while none are sent. */
  readonly failureShare: number;
}

/** Estimates the load of targets. */
export interface LoadView {
  /** Load of the kind of work, short or long, of the route; short if the kind is unknown. */
  estimate(target: TargetEntry, route?: string): LoadEstimate;
}

/** Records requests of this entry and the load reports of homes. */
export interface LoadRecorder extends LoadView {
  /** Records a request sent to the target. */
  sent(target: TargetId, route?: string): void;
  /** Records a failure at the target, in addition to `ended`; refusals and timeouts do not count. */
  failed(target: TargetId): void;
  /** Records a success at the target, in addition to `ended`. */
  succeeded(target: TargetId): void;
  /** Records the end of a request; `load` is the report of the home, if any. */
  ended(target: TargetId, load?: TargetLoad, route?: string): void;
}

/** The selected target and the reason. */
export interface SelectedTarget {
  readonly step: 'selection';
  readonly target: TargetEntry;
  readonly locality: Locality;
  /** Number of targets that could have been selected. */
  readonly candidates: number;
  /** Targets whose expected waits were compared. */
  readonly compared: readonly TargetId[];
  /** Milliseconds. */
  readonly expectedWait: number;
  /** Bytes reserved from the cross-region budget; 0 within the region. */
  readonly reservedBytes: number;
  readonly reason: 'least-wait' | 'only-candidate' | 'suspect-without-alternative';
}

/** No target can be selected. The request was not sent. */
export interface SelectionRefusal {
  readonly step: 'selection';
  readonly notRun: true;
  readonly reason: RefusalReason;
  readonly message: string;
  readonly candidates: number;
}

/** Byte budget for the other region. */
export interface CrossRegionAllowance {
  /** Takes `bytes` from the service's budget; false if it is used up. */
  reserve(service: ServiceName, bytes: number): boolean;
}

/** Dependencies of a selector. */
export interface SelectorSettings {
  /** Milliseconds that the path to a home adds to the round trip of its locality; 0 for a healthy path. */
  readonly pathPenalty: (home: DaemonId) => number;
  readonly crossRegion: CrossRegionAllowance;
  /** Round-trip time in milliseconds to each locality. */
  readonly roundTrip?: Readonly<Record<Locality, number>>;
}
