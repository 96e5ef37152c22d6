import { expect } from 'chai';
import { VirtualClock } from '../api/index.js';
import { MemoryLog } from '../testing/MemoryLog.js';
import { SettingsWatch } from './SettingsWatch.js';

const content = (slack: number): string => `
[daemon]
id = d
region = gam
data-centre = gam-a
[target]
service = lots
address = 127.0.0.1:1
[listen]
callers = 127.0.0.1:2
peer = 127.0.0.1:3
readiness = 127.0.0.1:4
admin = 127.0.0.1:5
metrics = 127.0.0.1:6
[store]
addresses = 127.0.0.1:7
[retries]
slack = ${slack}
`;

function create() {
  const clock = new VirtualClock();
  const log = new MemoryLog();
  const seen: number[] = [];
  const file = { text: content(1) };
  const watch = new SettingsWatch(
    'test.ini',
    content(1),
    clock,
    log,
    ({ retrySlack }) => seen.push(retrySlack),
    () => {
      if (file.text === 'gone') throw new Error('no such file');
      return file.text;
    },
  );
  watch.start();
  return { clock, log, seen, file, watch };
}

describe('SettingsWatch', () => {
  const cases = [
    { name: 'applies a change without a signal', text: content(2), seen: [2], error: false },
    { name: 'reports nothing without a change', text: content(1), seen: [], error: false },
    {
      name: 'keeps the previous settings if the new ones are invalid',
      text: '[daemon]',
      seen: [],
      error: true,
    },
    {
      name: 'keeps the previous settings if the file is missing',
      text: 'gone',
      seen: [],
      error: true,
    },
  ];
  cases.forEach(({ name, text, seen, error }) => {
    it(name, () => {
      const fixture = create();
      fixture.file.text = text;
      fixture.clock.advance(2_500);
      expect(fixture.seen).to.deep.equal(seen);
      expect(fixture.log.lines.some(({ level }) => level === 'error')).to.equal(error);
    });
  });

  it('applies a change immediately on a signal', () => {
    const { seen, file, watch } = create();
    file.text = content(3);
    watch.check('signal');
    expect(seen).to.deep.equal([3]);
  });
});
