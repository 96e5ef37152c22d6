/** Encodings of what daemons add to forwarded requests and their responses. */
import type { RefusalReason } from '../../api/index.js';
import type { ConditionReport, HeaderPair, TargetCondition } from '../../common/dispatch/Types.js';
import type { HomeRequestMetadata } from '../Types.js';

/** What an entry adds to a forwarded request. */
export interface PeerRequest {
  /** `entry` is empty if the encoding does not carry it. */
  readonly metadata: HomeRequestMetadata;
  /** Whether the home is in the data centre of the entry; traffic between them costs nothing then. */
  readonly isSameDataCentre: boolean;
  /** Target conditions that the entry knows; undefined between regions. */
  readonly conditions: readonly ConditionReport[] | undefined;
}

/** How a home ended a request without a usable response of the target. */
export type PeerFailure =
  | {
      readonly type: 'refused';
      readonly reason: RefusalReason;
      /** Milliseconds after which a retry may succeed. */
      readonly retryAfter: number | undefined;
      /** The target itself refused. */
      readonly hasReachedTarget: boolean;
    }
  | { readonly type: 'unknown' };

/** What a home adds to a response. */
export interface PeerResponse {
  /** Configuration version of the home. */
  readonly version: number;
  readonly condition: TargetCondition | undefined;
  /** Target conditions that the home knows; undefined between regions. */
  readonly conditions: readonly ConditionReport[] | undefined;
  /** Encoded record of the home, if the entry has another version. */
  readonly record: string | undefined;
  /** Undefined if the response is that of the target. */
  readonly failure: PeerFailure | undefined;
}

/** Encoding of `PeerRequest` and `PeerResponse` as HTTP headers. */
export interface PeerCodec {
  /** Maximum number of conditions that are worth sending to a daemon of another data centre. */
  readonly maxDistantConditions: number;
  /** Lower-case names of the headers that this encoding adds; each comes before one of the same name that is forwarded. */
  readonly headerNames: ReadonlySet<string>;
  /** Form in which a record version is sent and compared. */
  readonly encodeRecordVersion: (version: string) => string;
  readonly encodeRequest: (request: PeerRequest) => HeaderPair[];
  /** Undefined if the headers are missing or invalid. */
  readonly decodeRequest: (headers: readonly HeaderPair[]) => PeerRequest | undefined;
  readonly encodeResponse: (response: PeerResponse) => HeaderPair[];
  /** Undefined if the headers are missing or invalid, so that the response does not come from a daemon. */
  readonly decodeResponse: (headers: readonly HeaderPair[]) => PeerResponse | undefined;
}
