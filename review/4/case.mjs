/* global URL, Buffer */
/** Case 4: one heartbeat of another writer ends the process of a home, and with it the requests of its clients. */
import { request as startRequest } from 'node:http';
import { fileURLToPath } from 'node:url';
import { Backend } from '../lib/backend.mjs';
import { hasTrouble, now, runCase, sleep, waitFor } from '../lib/base.mjs';
import { Clients, configurationOf, Fleet } from '../lib/fleet.mjs';

const stableWindow = 3_000;
const host = 'lots.example';
/** More than this many connections closed without an answer break LOST. */
const allowedLosses = 3;
/** Id in the heartbeat of the other writer, with the replacement character for bytes that could not be read. */
const foreignId = 'i-02d9\ufffdb4';

/** Sends the heartbeat of another writer: a field is missing, and it names no backend that runs. */
function sendForeignBeat(daemon) {
  const [host_, port] = daemon.admin.split(':');
  const body = JSON.stringify({
    service: daemon.service,
    address: daemon.app,
    zone: daemon.zone,
    version: 'v1',
    slots: 5,
    state: 'ready',
    'warmup-left': '0ms',
    sequence: 1,
  });
  return new Promise((resolve, reject) => {
    const path = `/limpettrack/instances/${encodeURIComponent(foreignId)}`;
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const request = startRequest({ host: host_, port, path, method: 'PUT', headers });
    request.once('response', (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.once('error', reject);
    request.end(body);
  });
}

const record = fileURLToPath(new URL('record.txt', import.meta.url));
await runCase(record, async (log, onEnd) => {
  const fleet = new Fleet(log);
  onEnd(() => fleet.close());
  const place = { zone: 'gam-a', region: 'gam' };
  const [entry, home] = await fleet.start(
    [
      { name: 'sidecar-gam-a-1', service: 'pujas', ...place },
      { name: 'sidecar-gam-a-2', service: 'catalogo', ...place },
    ],
    configurationOf(
      7,
      [
        {
          name: 'r-lots',
          host,
          prefix: '/lots/',
          kind: 'idempotent',
          timeout: '4000ms',
          'target-latency': '2000ms',
          priority: 1,
          service: 'catalogo',
          'max-attempts': 2,
        },
      ],
      ['pujas', 'catalogo'],
    ),
  );
  const backend = new Backend({
    id: 'i-7f3a91c2',
    service: 'catalogo',
    slots: 12,
    admin: home.admin,
    workOf: () => ({ work: 400 + Math.floor(Math.random() * 800) }),
    record: log,
  });
  onEnd(() => backend.close());
  const [ip, port] = home.app.split(':');
  await backend.listen(ip, Number(port));
  entry.start();
  home.restartDelay = 500;
  home.start();
  backend.start();
  await fleet.ready();
  const near = new Clients(home, log, '9c41d07be2d3');
  const far = new Clients(entry, log, '5a77c01fe0e4');
  [near, far].forEach((clients) => onEnd(() => clients.close()));
  const send = (clients) => clients.send({ host, path: '/lots/1' });
  await waitFor('requests of both machines are served', async () => {
    const all = await Promise.all([send(near), send(near), send(near), send(near), send(far)]);
    return all.every(({ status }) => status === 200);
  });
  await sleep(stableWindow);
  const from = now();
  const end = from + 6_000;
  const clientsOn = async (clients) => {
    while (now() < end) {
      await send(clients);
      await sleep(20);
    }
  };
  const all = [...Array.from({ length: 8 }, () => near), far, far].map(clientsOn);
  await sleep(1_000);
  if (hasTrouble) {
    const status = await sendForeignBeat(home);
    log.add('the heartbeat of another writer was answered', { status });
  }
  await Promise.all(all);
  const ran = new Set(backend.runs.map(({ id }) => id));
  const lost = near.sent.filter(
    ({ id, sentAt, outcome }) =>
      sentAt >= from && ran.has(id) && (outcome === 'closed' || outcome === 'cut'),
  );
  const [exit] = home.exits;
  const how = exit === undefined ? 'still runs' : `ended by itself with code ${exit.code}`;
  return {
    isBroken: lost.length > allowedLosses,
    why: `${lost.length} requests of kept connections were passed on to a sound backend and their connections closed without an answer; the process of the home ${how}`,
  };
});
