import { expect } from 'chai';
import { isRight } from 'fp-ts/lib/Either.js';
import { VirtualClock, brandAs } from '../base/index.js';
import type { Disposable, Incarnation, ServiceName, TargetId } from '../base/index.js';
import type { TargetAnnouncement } from '../services/Types.js';
import { TargetAnnouncements } from './TargetAnnouncements.js';

const id = brandAs<TargetId>('t1');

function announcement(incarnation: string, state: TargetAnnouncement['state'] = 'active') {
  return {
    id,
    incarnation: brandAs<Incarnation>(incarnation),
    service: brandAs<ServiceName>('pujas'),
    address: '127.0.0.1:9000',
    slots: 5,
    connections: 330,
    state,
  };
}

describe('TargetAnnouncements', () => {
  const cases = [
    {
      name: 'keeps a target that renews in time',
      at: [0, 2900, 5800],
      until: 8700,
      held: true,
      drops: 0,
    },
    {
      name: 'drops a target 3 s after its last renewal',
      at: [0],
      until: 3000,
      held: false,
      drops: 1,
    },
    {
      name: 'accepts a target again after it expired',
      at: [0, 5000],
      until: 7900,
      held: true,
      drops: 1,
    },
  ];
  cases.forEach(({ name, at, until, held, drops }) => {
    it(name, () => {
      const clock = new VirtualClock();
      const announcements = new TargetAnnouncements(clock);
      let gone = 0;
      announcements.onGone(() => {
        gone += 1;
      });
      at.forEach((time) => clock.after(time, () => announcements.announce(announcement('1-a'))));
      clock.advance(until);
      expect([announcements.has(id), gone]).to.deep.equal([held, drops]);
    });
  });

  it('replaces an old incarnation and ignores its late renewal, also after the new one is gone', () => {
    const clock = new VirtualClock();
    const announcements = new TargetAnnouncements(clock);
    const gone: string[] = [];
    announcements.onGone((last) => gone.push(last.incarnation));
    announcements.announce(announcement('1-a'));
    announcements.announce(announcement('2-a'));
    const isTaken = [isRight(announcements.announce(announcement('1-a')))];
    expect(announcements.get(id)?.incarnation).to.equal('2-a');
    clock.advance(3000);
    isTaken.push(isRight(announcements.announce(announcement('1-a'))));
    expect(isTaken).to.deep.equal([false, false]);
    expect(gone).to.deep.equal(['1-a', '2-a']);
  });

  it('fires only on changes, because each one is gossiped to the whole fleet', () => {
    const announcements = new TargetAnnouncements(new VirtualClock());
    let changes = 0;
    announcements.onChange(() => {
      changes += 1;
    });
    ['active', 'active', 'draining', 'draining'].forEach((state) =>
      announcements.announce(announcement('1-a', state as TargetAnnouncement['state'])),
    );
    expect(changes).to.equal(2);
  });

  it('lists a draining target as draining whatever the home had assigned', () => {
    const announcements = new TargetAnnouncements(new VirtualClock());
    announcements.announce(announcement('1-a'));
    announcements.assign(id, { status: 'trial', share: 0.25 });
    expect(announcements.list()[0]?.share).to.equal(0.25);
    announcements.announce(announcement('1-a', 'draining'));
    expect(announcements.list()[0]?.status).to.equal('draining');
  });

  it('rejects announcements when the daemon is leaving', () => {
    const announcements = new TargetAnnouncements(new VirtualClock());
    announcements.close();
    expect(announcements.announce(announcement('1-a'))).to.deep.include({ left: 'leaving' });
  });

  it('disposes all timers; a pending one would keep a stopped daemon running for 10 minutes', () => {
    const clock = new VirtualClock();
    const pending = new Set<Disposable>();
    const announcements = new TargetAnnouncements({
      now: () => clock.now(),
      elapsed: () => clock.elapsed(),
      after: (delay, callback) => {
        const timer = clock.after(delay, () => {
          pending.delete(timer);
          callback();
        });
        pending.add(timer);
        return {
          dispose: () => {
            pending.delete(timer);
            timer.dispose();
          },
        };
      },
    });
    announcements.announce(announcement('1'));
    clock.advance(3000);
    announcements.announce(announcement('2'));
    announcements.dispose();
    expect(pending.size).to.equal(0);
  });
});
