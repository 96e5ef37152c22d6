import { expect } from 'chai';
import * as fc from 'fast-check';
import { brandAs, type RefusalReason, type TargetId } from '../../api/index.js';
import type { ConditionReport, HeaderPair } from '../../common/dispatch/Types.js';
import { dropAddedHeaders, newestPeerEncoding, PeerCodecs } from './peerCodecs.js';
import type { PeerFailure, PeerRequest, PeerResponse } from './Types.js';

const requestIdHeader = 'x-request-id';
const codecs = new PeerCodecs(requestIdHeader);
const encodings = [
  { name: 'JSON', codec: codecs.select(1) },
  { name: 'compact', codec: codecs.select(newestPeerEncoding) },
];

/** Any text that an HTTP header value can carry. */
const headerText = fc.string({
  unit: fc.integer({ min: 0x21, max: 0x7e }).map((code) => String.fromCharCode(code)),
  minLength: 1,
  maxLength: 20,
});
const count = fc.nat({ max: 10_000 });
const condition = fc.record(
  {
    running: count,
    queued: count,
    slots: count,
    work: count,
    // In tenths, the resolution of the compact encoding.
    sickness: fc.integer({ min: -80, max: 80 }).map((tenths) => tenths / 10),
    // In tenths of a second; daemons of an earlier build send none.
    idle: count.map((units) => units * 100),
    limit: fc.record({ interval: count, wait: count }),
  },
  { requiredKeys: ['running', 'queued', 'slots', 'work', 'sickness'] },
);
const conditions = fc.option(
  fc.array(
    fc.record({
      target: headerText.map((text) => brandAs<TargetId>(text)),
      age: count.map((units) => units * 10),
      condition,
    }),
    { maxLength: 8 },
  ),
  { nil: undefined },
);
const metadata = fc.record({
  id: headerText,
  target: headerText,
  incarnation: headerText,
  timeout: count,
  maxQueueWait: count,
  isForced: fc.boolean(),
  isTrial: fc.boolean(),
  isRetry: fc.boolean(),
  isIdempotent: fc.boolean(),
  rank: count,
  route: headerText,
  goal: count,
  entry: headerText,
  version: count,
  recordVersion: fc.constant('00mb5x0o7c3-1k2j3h4/7'),
});
const failure = fc.option(
  fc.oneof(
    fc.constant<PeerFailure>({ type: 'unknown' }),
    fc.record({
      type: fc.constant('refused' as const),
      reason: fc.constantFrom<RefusalReason>('queue-full', 'draining', 'suspect'),
      retryAfter: fc.option(fc.integer({ min: 1, max: 9_000 }), { nil: undefined }),
      hasReachedTarget: fc.boolean(),
    }),
  ),
  { nil: undefined },
);

function expectConditions(
  actual: readonly ConditionReport[] | undefined,
  expected: readonly ConditionReport[] | undefined,
): void {
  expect(actual?.length).to.equal(expected?.length);
  expected?.forEach((report, index) => {
    const { condition: decoded, ...rest } = actual?.[index] as ConditionReport;
    expect(rest).to.deep.equal({ target: report.target, age: report.age });
    expect(decoded.sickness).to.be.closeTo(report.condition.sickness, 0.001);
    expect({ ...decoded, sickness: 0 }).to.deep.equal({ ...report.condition, sickness: 0 });
  });
}

describe('encodings between daemons', () => {
  encodings.forEach(({ name, codec }) => {
    it(`decodes each request that it encoded: ${name}`, () => {
      fc.assert(
        fc.property(metadata, conditions, (sent, reports) => {
          const recordVersion = codec.encodeRecordVersion(sent.recordVersion);
          const request: PeerRequest = {
            metadata: { ...sent, recordVersion },
            isSameDataCentre: true,
            conditions: reports,
          };
          const headers: HeaderPair[] = [
            ...codec.encodeRequest(request),
            ['X-Request-Id', sent.id],
          ];
          const decoded = codecs.decodeRequest(headers);
          expect(decoded?.codec).to.equal(codec);
          const { entry, ...rest } = decoded?.request.metadata ?? { entry: '' };
          const { entry: sentEntry, ...sentRest } = request.metadata;
          expect(rest).to.deep.equal(sentRest);
          expect(entry).to.be.oneOf([sentEntry, '']);
          expectConditions(decoded?.request.conditions, reports);
        }),
        { seed: 20261204 },
      );
    });

    it(`decodes each response that it encoded: ${name}`, () => {
      fc.assert(
        fc.property(
          count,
          fc.option(condition, { nil: undefined }),
          conditions,
          failure,
          (version, own, reports, failed) => {
            const response: PeerResponse = {
              version,
              condition: own,
              conditions: reports,
              record: '{"daemon":"d-1"}',
              failure: failed,
            };
            const decoded = codec.decodeResponse(codec.encodeResponse(response));
            expect(decoded?.version).to.equal(version);
            expect(decoded?.failure).to.deep.equal(failed);
            expect(decoded?.record).to.equal(response.record);
            expect(decoded?.condition?.running).to.equal(own?.running);
            expectConditions(decoded?.conditions, reports);
          },
        ),
        { seed: 20261204 },
      );
    });
  });

  const invalid: readonly { readonly name: string; readonly headers: readonly HeaderPair[] }[] = [
    { name: 'no header of a daemon', headers: [['host', 'h']] },
    { name: 'a JSON value that is cut', headers: [['limpettrack-order', '{"id":"1"']] },
    { name: 'too few values', headers: [['lt', 't-1,1,2,3']] },
    { name: 'a value that is no number', headers: [['lt', 't-1,1,x,3,0,1,2,3,4,route']] },
    { name: 'an invalid percent-encoding', headers: [['lt', '%,1,2,3,0,1,2,3,4,route']] },
    {
      name: 'a condition that is no number',
      headers: [
        ['lt', 't-1,1,2,3,0,1,2,3,4,route'],
        ['lt-c', 't-2,1,?,2'],
      ],
    },
  ];
  invalid.forEach(({ name, headers }) => {
    it(`takes no request from ${name}`, () => {
      expect(codecs.decodeRequest(headers)).to.equal(undefined);
    });
  });

  it('removes only the headers that a daemon added, not those of the same name of a caller', () => {
    const headers: HeaderPair[] = [
      ['lt', 'added'],
      ['host', 'h'],
      ['LT', 'of the caller'],
    ];
    const { headerNames } = codecs.select(newestPeerEncoding);
    expect(dropAddedHeaders(headers, headerNames)).to.deep.equal([
      ['host', 'h'],
      ['LT', 'of the caller'],
    ]);
  });
});
