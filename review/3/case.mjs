/* global URL, Buffer, setTimeout */
/** Case 3: a late heartbeat brings a backend back that has left, after the daemon beside it was restarted. */
import { fileURLToPath } from 'node:url';
import { Backend } from '../lib/backend.mjs';
import { hasTrouble, now, runCase, sleep, waitFor } from '../lib/base.mjs';
import { Clients, configurationOf, Fleet } from '../lib/fleet.mjs';

const drain = 2_500;
const stableWindow = 3_000;
/** By how much the last heartbeat is late. */
const lateness = 3_000;
/** For how long the backend serves after it has left. */
const serveOn = 9_000;
const host = 'bids.example';

const record = fileURLToPath(new URL('record.txt', import.meta.url));
await runCase(record, async (log, onEnd) => {
  const fleet = new Fleet(log);
  onEnd(() => fleet.close());
  const place = { zone: 'gam-a', region: 'gam' };
  const [entry, left, stays] = await fleet.start(
    [
      { name: 'sidecar-gam-a-1', service: 'catalogo', ...place },
      { name: 'sidecar-gam-a-2', service: 'pujas', ...place },
      { name: 'sidecar-gam-a-3', service: 'pujas', ...place },
    ],
    configurationOf(
      7,
      [
        {
          name: 'r-bids',
          host,
          prefix: '/bids/',
          kind: 'non_idempotent',
          timeout: '4000ms',
          'target-latency': '2000ms',
          priority: 1,
          service: 'pujas',
          'max-attempts': 2,
        },
        {
          name: 'r-ledger',
          host,
          prefix: '/ledger/',
          kind: 'idempotent',
          timeout: '4000ms',
          'target-latency': '2000ms',
          priority: 2,
          service: 'pujas',
          'max-attempts': 2,
        },
      ],
      ['pujas', 'catalogo'],
    ),
  );
  const backends = [left, stays].map(
    (daemon, index) =>
      new Backend({
        id: `i-7f3a91c${index + 1}`,
        service: 'pujas',
        slots: 5,
        admin: daemon.admin,
        workOf: () => ({ work: 100 }),
        record: log,
      }),
  );
  backends.forEach((backend) => onEnd(() => backend.close()));
  await Promise.all(
    backends.map((backend, index) => {
      const [ip, port] = [left, stays][index].app.split(':');
      return backend.listen(ip, Number(port));
    }),
  );
  [entry, left, stays].forEach((daemon) => daemon.start());
  backends.forEach((backend) => backend.start());
  await fleet.ready();
  const clients = new Clients(entry, log, '9c41d07be2a3');
  onEnd(() => clients.close());
  const send = () =>
    Promise.all([
      clients.send({ host, path: '/bids/1', method: 'POST', body: Buffer.from('bid') }),
      ...[1, 2, 3, 4].map((page) => clients.send({ host, path: `/ledger/${page}` })),
    ]);
  await waitFor('both backends run requests', async () => {
    await send();
    return backends.every(({ runs }) => runs.length > 0);
  });
  // Longer than the stable window, so that all machines are in touch.
  await sleep(stableWindow + 500);

  const [leaving] = backends;
  if (hasTrouble) {
    left.signal('SIGTERM');
    await left.ended;
  }
  // The next heartbeat is the late one.
  leaving.stopBeats();
  if (hasTrouble) {
    left.spawn();
    await waitFor('the daemon is ready again', () => left.isReady());
  }
  const lateBeat = leaving.nextBeat();
  log.add('heartbeat is sent and will be late', {
    backend: leaving.id,
    sequence: leaving.sequence,
  });
  setTimeout(async () => {
    const status = await leaving.tell('PUT', lateBeat);
    log.add('the late heartbeat has arrived', { backend: leaving.id, state: 'ready', status });
  }, lateness);
  await sleep(300);
  const acknowledged = await waitFor('the backend is told that it left', async () => {
    const status = await leaving.tell('DELETE', JSON.stringify({ born: leaving.born }));
    return status === 200 ? now() : undefined;
  });
  log.add('the backend has left, and the daemon has acknowledged it', { backend: leaving.id });
  const end = acknowledged + serveOn;
  while (now() < end) {
    await Promise.all([send(), sleep(150)]);
  }
  // Both the entry and the home must be in touch: no start of theirs in the stable window before.
  const from = Math.max(acknowledged + drain, left.startedAt + stableWindow + 500);
  const late = leaving.runs.filter(({ at }) => at > from);
  const others = backends[1].runs.filter(({ at }) => at > from);
  return {
    isBroken: late.length > 0,
    why: `${late.length} requests reached the backend later than ${drain} ms after its leaving was acknowledged (${others.length} reached the other one)`,
  };
});
