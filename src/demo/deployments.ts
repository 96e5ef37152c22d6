import type { Deployment } from './Types.js';

/** Auction: bids must be applied exactly once; downloads may wait. */
export const auction: Deployment = {
  name: 'auction',
  title: 'auction of marble blocks',
  dataCentres: [
    { name: 'gam-a', region: 'gam' },
    { name: 'gam-b', region: 'gam' },
    { name: 'gte-a', region: 'guanacaste' },
    { name: 'gte-b', region: 'guanacaste' },
  ],
  services: [
    { name: 'catalogo', targets: 8, slots: 5, connections: 330, serviceTime: 10 },
    { name: 'pujas', targets: 8, slots: 5, connections: 330, serviceTime: 15 },
    { name: 'archivo', targets: 8, slots: 5, connections: 330, serviceTime: 100 },
  ],
  kinds: [
    {
      name: 'listing',
      workClass: 'interactive',
      method: 'GET',
      path: '/lots',
      size: 2_000,
      serviceTime: 10,
      share: 0.73,
    },
    {
      name: 'bid',
      workClass: 'critical',
      method: 'POST',
      path: '/bids',
      size: 0,
      serviceTime: 15,
      share: 0.25,
    },
    {
      name: 'download',
      workClass: 'bulk',
      method: 'GET',
      path: '/plans',
      size: 200_000,
      serviceTime: 100,
      share: 0.02,
    },
  ],
  faultyService: 'catalogo',
  peakPreset: 'peak',
};

/** Plant: orders must not be duplicated; stock reads must not queue behind manifests. */
export const plant: Deployment = {
  name: 'plant',
  title: 'void-fill plant',
  dataCentres: [
    { name: 'xela-a', region: 'occidente' },
    { name: 'xela-b', region: 'occidente' },
    { name: 'zacapa-a', region: 'oriente' },
    { name: 'zacapa-b', region: 'oriente' },
  ],
  services: [
    { name: 'inventario', targets: 8, slots: 3, connections: 390, serviceTime: 10 },
    { name: 'despacho', targets: 8, slots: 3, connections: 390, serviceTime: 100 },
    { name: 'pedidos', targets: 14, slots: 3, connections: 390, serviceTime: 15 },
  ],
  kinds: [
    {
      name: 'stock',
      workClass: 'interactive',
      method: 'GET',
      path: '/stock',
      size: 1_000,
      serviceTime: 10,
      share: 0.73,
    },
    {
      name: 'order',
      workClass: 'critical',
      method: 'POST',
      path: '/orders',
      size: 0,
      serviceTime: 15,
      share: 0.25,
    },
    {
      name: 'manifest',
      workClass: 'bulk',
      method: 'GET',
      path: '/manifests',
      size: 100_000,
      serviceTime: 100,
      share: 0.02,
    },
  ],
  faultyService: 'inventario',
  peakPreset: 'peak',
};
