/** Interfaces of the demo. */
import type { WorkClass } from '../api/index.js';

/** One kind of request that callers of a deployment send. */
export interface RequestKind {
  readonly name: string;
  readonly workClass: WorkClass;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Bytes of the answer of a read. */
  readonly size: number;
  /** Milliseconds of service time. */
  readonly work: number;
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
  /** Service of which one target fails. */
  readonly failing: string;
  /** Preset that the demo switches to. */
  readonly peakPreset: string;
}

/** Answer to one request as its caller saw it. */
export interface CallerAnswer {
  readonly kind: RequestKind;
  readonly status: number;
  /** Milliseconds. */
  readonly duration: number;
  /** `done`, `not-run`, `unknown` or `wrong` if the answer was not whole or not the caller's own. */
  readonly result: 'done' | 'not-run' | 'unknown' | 'wrong';
  readonly key?: string;
}
