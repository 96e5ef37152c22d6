import { expect } from 'chai';
import {
  brandAs,
  NotRunError,
  OutcomeUnknownError,
  VirtualClock,
  type DaemonId,
} from '../api/index.js';
import { PathTracker } from '../common/health/index.js';
import { ObservedHome } from './ObservedHome.js';
import type { ForwardAnswer, ForwardRequest, Home } from './Types.js';

const daemon = brandAs<DaemonId>('d2');

describe('ObservedHome', () => {
  const cut = new NotRunError('connect-failed', 'no connection', { step: 'peer.connect' });
  const broken = new OutcomeUnknownError('cut', { step: 'forward.answer' });
  const refused = new NotRunError('queue-full', 'full', { step: 'forward.target' });
  const crashed = new OutcomeUnknownError('reset', { step: 'forward.target' });
  const cases = [
    { name: 'lowers the preference after a failed connection', error: cut, isLowered: true },
    { name: 'lowers the preference after a broken stream', error: broken, isLowered: true },
    { name: 'counts a refusal by the peer as a working path', error: refused, isLowered: false },
    { name: 'does not count a crashed target as a path failure', error: crashed, isLowered: false },
    { name: 'ignores a cancelled request', error: broken, isLowered: false, aborted: true },
  ];
  cases.forEach(({ name, error, isLowered, aborted = false }) => {
    it(name, async () => {
      const clock = new VirtualClock();
      const paths = new PathTracker();
      const failing: Home = { forward: (): Promise<ForwardAnswer> => Promise.reject(error) };
      const home = new ObservedHome(failing, { daemon, paths, clock });
      const signal = aborted ? AbortSignal.abort() : new AbortController().signal;
      const request = {} as ForwardRequest;
      const thrown = await home.forward(request, signal).catch((failure: Error) => failure);
      expect(thrown).to.equal(error);
      expect(paths.preference(daemon, 0) < 1).to.equal(isLowered);
    });
  });
});
