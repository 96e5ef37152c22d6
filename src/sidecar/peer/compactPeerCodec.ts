/** Encoding 2: values at fixed positions, since traffic between data centres is billed by the byte. */
import { brandAs, escapeNonAscii, type RefusalReason, type TargetId } from '../../api/index.js';
import { hashString } from '../../common/base/Hash.js';
import type { ConditionReport, HeaderPair, TargetCondition } from '../../common/dispatch/Types.js';
import { findHeader } from '../../daemon/Headers.js';
import type { HomeRequestMetadata } from '../Types.js';
import type { PeerCodec, PeerFailure, PeerRequest } from './Types.js';

/** Request metadata, or the state of the home. */
const stateHeader = 'lt';
const conditionsHeader = 'lt-c';
const recordHeader = 'lt-r';

/** Separates values; ids are percent-encoded, so that none contains it. */
const valueSeparator = ',';
const rowSeparator = ';';
/** Number of values before the name of the route. */
const fixedValues = 9;
/** Unit of the age of a condition in milliseconds. */
const ageUnit = 10;
/** Separators after the last value that is not empty. */
const trailingSeparators = /,+$/;
/** Unit of log-odds. */
const logOddsUnit = 0.1;
/** Unit of the time without requests in milliseconds. */
const idleUnit = 100;
/** Base of the numbers of a condition. */
const compactRadix = 36;
/** Value of the failure whose outcome is unknown; no refusal has this reason. */
const unknownOutcome = '?';
/** Conditions for a daemon of another data centre, whose targets get few requests of this one. */
const maxDistantConditions = 3;

const flagBits = { isForced: 1, isTrial: 2, isRetry: 4, isIdempotent: 8 } as const;
const flagNames = Object.keys(flagBits) as (keyof typeof flagBits)[];
/** Flag of a request within one data centre. */
const nearBit = 16;

/** Thrown for a value that cannot be decoded and caught by the decoders of whole headers. */
class InvalidValueError extends Error {}

function readInteger(text: string | undefined, radix = 10): number {
  const value = parseInt(text ?? '', radix);
  if (Number.isNaN(value)) throw new InvalidValueError(text);
  return value;
}

/** Result of `decode`; undefined if a value is missing or invalid. */
function tryDecode<Value>(decode: () => Value): Value | undefined {
  try {
    return decode();
  } catch (error) {
    // The receiver treats the sender as one that is no daemon.
    if (error instanceof InvalidValueError || error instanceof URIError) return undefined;
    throw error;
  }
}

function encodeCondition(condition: TargetCondition): string {
  const { running, queued, slots, work, sickness, idle, limit } = condition;
  const optional = [idle === undefined ? undefined : idle / idleUnit, limit?.interval, limit?.wait];
  return [running, queued, slots, work, sickness / logOddsUnit, ...optional]
    .map((value) => (value === undefined ? '' : Math.round(value).toString(compactRadix)))
    .join(valueSeparator)
    .replace(trailingSeparators, '');
}

function decodeCondition(values: readonly string[]): TargetCondition {
  const [running, queued, slots, work, sickness, ...optional] = values;
  // Daemons of an earlier build send no more values, and ignore them.
  const [idle, interval, wait] = optional.map((text) =>
    text === '' ? undefined : readInteger(text, compactRadix),
  );
  return {
    running: readInteger(running, compactRadix),
    queued: readInteger(queued, compactRadix),
    slots: readInteger(slots, compactRadix),
    work: readInteger(work, compactRadix),
    sickness: readInteger(sickness, compactRadix) * logOddsUnit,
    ...(idle === undefined ? {} : { idle: idle * idleUnit }),
    ...(interval === undefined || wait === undefined ? {} : { limit: { interval, wait } }),
  };
}

function encodeConditions(reports: readonly ConditionReport[]): string {
  return reports
    .map(({ target, age, condition }) =>
      [
        encodeURIComponent(target),
        Math.round(age / ageUnit).toString(compactRadix),
        encodeCondition(condition),
      ].join(valueSeparator),
    )
    .join(rowSeparator);
}

function decodeConditions(text: string): ConditionReport[] {
  if (text === '') return [];
  return text.split(rowSeparator).map((row) => {
    const [target = '', age, ...condition] = row.split(valueSeparator);
    return {
      target: brandAs<TargetId>(decodeURIComponent(target)),
      age: readInteger(age, compactRadix) * ageUnit,
      condition: decodeCondition(condition),
    };
  });
}

function readConditions(headers: readonly HeaderPair[]): readonly ConditionReport[] | undefined {
  const text = findHeader(headers, conditionsHeader);
  return text === undefined ? undefined : decodeConditions(text);
}

/** Metadata without the id, which the request bears, and the entry, which the connection shows. */
function encodeMetadata({ metadata, isSameDataCentre }: PeerRequest): string {
  const flags = flagNames.reduce(
    (bits, name) => bits + (metadata[name] ? flagBits[name] : 0),
    isSameDataCentre ? nearBit : 0,
  );
  return [
    encodeURIComponent(metadata.target),
    encodeURIComponent(metadata.incarnation),
    metadata.timeout,
    metadata.maxQueueWait,
    flags,
    metadata.rank,
    Math.round(metadata.goal),
    metadata.version,
    metadata.recordVersion,
    // The name of a route is only a label at the home.
    escapeNonAscii(metadata.route),
  ].join(valueSeparator);
}

function decodeMetadata(text: string, id: string): Omit<PeerRequest, 'conditions'> {
  const values = text.split(valueSeparator);
  if (values.length <= fixedValues) throw new InvalidValueError(text);
  const [target, incarnation, timeout, maxQueueWait, flagText, rank, goal, version, record] =
    values;
  const flags = readInteger(flagText);
  const has = (bit: number): boolean => (flags & bit) !== 0;
  const metadata: HomeRequestMetadata = {
    id,
    target: decodeURIComponent(target ?? ''),
    incarnation: decodeURIComponent(incarnation ?? ''),
    timeout: readInteger(timeout),
    maxQueueWait: readInteger(maxQueueWait),
    isForced: has(flagBits.isForced),
    isTrial: has(flagBits.isTrial),
    isRetry: has(flagBits.isRetry),
    isIdempotent: has(flagBits.isIdempotent),
    rank: readInteger(rank),
    route: values.slice(fixedValues).join(valueSeparator),
    goal: readInteger(goal),
    entry: '',
    version: readInteger(version),
    recordVersion: record ?? '',
  };
  return { metadata, isSameDataCentre: has(nearBit) };
}

function encodeFailure(failure: PeerFailure | undefined): string {
  if (failure === undefined) return '';
  if (failure.type === 'unknown') return unknownOutcome;
  const { reason, retryAfter, hasReachedTarget } = failure;
  const retry = retryAfter === undefined ? '' : String(Math.round(retryAfter));
  return [reason, retry, hasReachedTarget ? '1' : ''].join(' ');
}

function decodeFailure(text: string): PeerFailure | undefined {
  if (text === '') return undefined;
  if (text === unknownOutcome) return { type: 'unknown' };
  const [reason, retryAfter = '', reached = ''] = text.split(' ');
  return {
    type: 'refused',
    reason: reason as RefusalReason,
    retryAfter: retryAfter === '' ? undefined : readInteger(retryAfter),
    hasReachedTarget: reached !== '',
  };
}

/** Creates the encoding; `requestIdHeader` is the lower-case name of the header with the id of a request. */
export function createCompactPeerCodec(requestIdHeader: string): PeerCodec {
  return {
    maxDistantConditions,
    headerNames: new Set([stateHeader, conditionsHeader, recordHeader]),
    encodeRecordVersion: (version) => hashString(version).toString(compactRadix),
    encodeRequest: (request) => {
      const pairs: HeaderPair[] = [[stateHeader, encodeMetadata(request)]];
      const { conditions } = request;
      if (conditions !== undefined) pairs.push([conditionsHeader, encodeConditions(conditions)]);
      return pairs;
    },
    decodeRequest: (headers) =>
      tryDecode(() => {
        const text = findHeader(headers, stateHeader);
        if (text === undefined) return undefined;
        const id = findHeader(headers, requestIdHeader) ?? '';
        return { ...decodeMetadata(text, id), conditions: readConditions(headers) };
      }),
    encodeResponse: ({ version, condition, conditions, record, failure }) => {
      const state = [version, encodeFailure(failure)];
      if (condition !== undefined) state.push(encodeCondition(condition));
      const pairs: HeaderPair[] = [[stateHeader, state.join(valueSeparator)]];
      if (conditions !== undefined) pairs.push([conditionsHeader, encodeConditions(conditions)]);
      if (record !== undefined) pairs.push([recordHeader, record]);
      return pairs;
    },
    decodeResponse: (headers) =>
      tryDecode(() => {
        const text = findHeader(headers, stateHeader);
        if (text === undefined) return undefined;
        const [version, failure = '', ...condition] = text.split(valueSeparator);
        return {
          version: readInteger(version),
          condition: condition.length === 0 ? undefined : decodeCondition(condition),
          conditions: readConditions(headers),
          record: findHeader(headers, recordHeader),
          failure: decodeFailure(failure),
        };
      }),
  };
}
