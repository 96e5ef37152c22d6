import { expect } from 'chai';
import { decodeRecord, encodeRecord } from './daemonRecords.js';

const target = { id: 'i-1', incarnation: '1000', service: 'pujas', slots: 5, state: 'ready' };
const record = {
  daemon: 'sidecar-1',
  incarnation: 'x-1',
  serial: 3,
  address: '10.0.0.1:8300',
  region: 'gam',
  dataCentre: 'gam-a',
  state: 'serving',
  encoding: 2,
  targets: [target],
};

/** JSON text of arrays within each other. */
function nested(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

describe('decodeRecord', () => {
  it('decodes what was encoded', () => {
    const decoded = decodeRecord(JSON.stringify(record), 'sidecar-1');
    expect(decoded).to.deep.equal(record);
  });

  const invalid: readonly { readonly name: string; readonly change: object }[] = [
    { name: 'a port out of range', change: { address: '10.0.0.1:99999' } },
    { name: 'the port 0', change: { address: '10.0.0.1:0' } },
    { name: 'no port', change: { address: '10.0.0.1' } },
    { name: 'an empty address', change: { address: '' } },
    { name: 'a serial that bars all later records', change: { serial: 1e300 } },
    { name: 'a negative serial', change: { serial: -1 } },
    { name: 'an unknown state', change: { state: 'asleep' } },
    { name: 'a state of another type', change: { state: { state: 'serving' } } },
    { name: 'an encoding that is no number', change: { encoding: '2' } },
    { name: 'no region', change: { region: undefined } },
    { name: 'targets that are no list', change: { targets: { 0: target } } },
    { name: 'a target that is null', change: { targets: [null] } },
    { name: 'slots out of range', change: { targets: [{ ...target, slots: 1e308 }] } },
    { name: 'negative slots', change: { targets: [{ ...target, slots: -3 }] } },
    { name: 'a target of an unknown state', change: { targets: [{ ...target, state: 'odd' }] } },
    {
      name: 'an id too long for a header',
      change: { targets: [{ ...target, id: 'i'.repeat(9e4) }] },
    },
    { name: 'an id that no header can hold', change: { targets: [{ ...target, id: 'i-\ufffd' }] } },
    { name: 'the name of another daemon', change: { daemon: 'sidecar-2' } },
  ];
  invalid.forEach(({ name, change }) => {
    it(`rejects a record with ${name}, so that it is not used and the others hold`, () => {
      expect(decodeRecord(JSON.stringify({ ...record, ...change }), 'sidecar-1')).to.equal(
        undefined,
      );
    });
  });

  ['', 'null', '7', '"text"', '{', nested(100_000)].forEach((text) => {
    it(`rejects the text ${text.slice(0, 10)} of ${text.length} characters`, () => {
      expect(decodeRecord(text, 'sidecar-1')).to.equal(undefined);
    });
  });

  it('encodes names of any characters as printable ASCII, which a header can hold', () => {
    const named = { ...record, region: 'gam \u2013 \u00f1 \ud800 \u007f' };
    const decoded = decodeRecord(JSON.stringify(named), 'sidecar-1');
    if (decoded === undefined) throw new Error('the record was rejected');
    const text = encodeRecord(decoded);
    expect(text).to.match(/^[\x20-\x7e]+$/);
    expect(decodeRecord(text, 'sidecar-1')).to.deep.equal(named);
  });

  it('drops unknown fields, so that a deeply nested one does not end the daemon that passes the record on', () => {
    const text = `${JSON.stringify(record).slice(0, -1)},"more":${nested(100_000)}}`;
    const decoded = decodeRecord(text, 'sidecar-1');
    if (decoded === undefined) throw new Error('the record was rejected');
    expect(encodeRecord(decoded)).to.equal(JSON.stringify(record));
  });
});
