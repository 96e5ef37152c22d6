/** Interfaces of the demo. */
import type { WorkClass } from '../api/index.js';

/** One kind of request that callers of a deployment send. */
export interface RequestKind {
  readonly name: string;
  readonly workClass: WorkClass;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Size in bytes of the answer to a GET request. */
  readonly size: number;
  /** Service time in milliseconds. */
  readonly serviceTime: number;
  /** Share of the traffic. */
  readonly share: number;
}

/** Service of a deployment. */
export interface ServicePlan {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  /** Mean service time in milliseconds. */
  readonly serviceTime: number;
}

/** Deployment that the demo can start. */
export interface Deployment {
  readonly name: string;
  readonly title: string;
  readonly dataCentres: readonly { readonly name: string; readonly region: string }[];
  readonly services: readonly ServicePlan[];
  readonly kinds: readonly RequestKind[];
  /** Name of the service of which one target becomes faulty. */
  readonly faultyService: string;
  /** Preset that the demo switches to. */
  readonly peakPreset: string;
}

/** Answer to one request as its caller saw it. */
export interface CallerAnswer {
  readonly kind: RequestKind;
  readonly status: number;
  /** Milliseconds until the answer was complete or the request failed. */
  readonly duration: number;
  /** `wrong` means that the answer was incomplete or belonged to another request. */
  readonly result: 'done' | 'not-run' | 'unknown' | 'wrong';
  readonly key?: string;
}
