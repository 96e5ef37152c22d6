/** Interfaces of the choice of a target by an entry. */
import type { DaemonId, RefusalReason, ServiceName, TargetId } from '../base/index.js';
import type { RequestContext, TargetEntry, TargetLoad } from '../services/Types.js';

/** How far a target is from the entry. */
export type Locality = 'data-centre' | 'region' | 'other-region';

/** A request for which a target is sought. */
export interface SelectionRequest {
  readonly context: RequestContext;
  /** Targets that an earlier attempt used or that refused. */
  readonly avoid?: ReadonlySet<TargetId>;
  /** Bytes that are expected to cross to the other region if the target is there. */
  readonly expectedBytes?: number;
}

/** Estimated load of a target as the entry sees it. */
export interface LoadEstimate {
  /** Requests of the kind at the target, running and waiting, with those of this entry. */
  readonly total: number;
  /** Slots that work of the kind can use. */
  readonly slots: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
  /** Milliseconds since the home last reported; Infinity if it never did. */
  readonly age: number;
  /** Share of failures among this entry's last requests; fades while none is sent. */
  readonly failureShare: number;
}

/** Gives the estimated load of a target. */
export interface LoadView {
  /** Load of the kind of work, short or long, that the route was last counted as; short if it is not known. */
  estimate(target: TargetEntry, route?: string): LoadEstimate;
}

/** Records requests of this entry and the loads that homes report. */
export interface LoadRecorder extends LoadView {
  /** The entry sends a request to the target. */
  sent(target: TargetId, route?: string): void;
  /** The request failed at the target. Call it in addition to `ended`; refusals and timeouts do not count. */
  failed(target: TargetId): void;
  /** The request succeeded at the target. Call it in addition to `ended`. */
  succeeded(target: TargetId): void;
  /** The request ended; `load` is the report of the home, if one came. */
  ended(target: TargetId, load?: TargetLoad, route?: string): void;
}

/** Target that was chosen, and why. */
export interface SelectedTarget {
  readonly step: 'selection';
  readonly target: TargetEntry;
  readonly locality: Locality;
  /** Targets that could have been chosen. */
  readonly candidates: number;
  /** Targets whose expected waits were compared. */
  readonly compared: readonly TargetId[];
  /** Milliseconds. */
  readonly expectedWait: number;
  /** Bytes taken from the cross-region budget; 0 within the region. */
  readonly reservedBytes: number;
  readonly reason: 'least-wait' | 'only-candidate' | 'suspect-without-alternative';
}

/** No target can be chosen. Nothing was sent. */
export interface SelectionRefusal {
  readonly step: 'selection';
  readonly notRun: true;
  readonly reason: RefusalReason;
  readonly message: string;
  readonly candidates: number;
}

/** Byte budget towards the other region. */
export interface CrossRegionAllowance {
  /** Takes `bytes` of the service's budget; false if they are not there. */
  reserve(service: ServiceName, bytes: number): boolean;
}

/** What a selector depends on. */
export interface SelectorSettings {
  /** Milliseconds that the path to a home adds beyond its locality; 0 if the path is sound. */
  readonly pathPenalty: (home: DaemonId) => number;
  readonly crossRegion: CrossRegionAllowance;
  /** Round trip in milliseconds to each locality. */
  readonly roundTrip?: Readonly<Record<Locality, number>>;
}
