import type { Deployment } from './Types.js';

/** The auction: bids must land exactly once, downloads may wait. */
export const auction: Deployment = {
  name: 'auction',
  title: 'Auction of marble blocks',
  dataCentres: [
    { name: 'gam-a', region: 'gam' },
    { name: 'gam-b', region: 'gam' },
    { name: 'gte-a', region: 'guanacaste' },
    { name: 'gte-b', region: 'guanacaste' },
  ],
  services: [
    { name: 'catalogo', targets: 8, slots: 5, connections: 330, serviceTime: 5 },
    { name: 'pujas', targets: 8, slots: 5, connections: 330, serviceTime: 5 },
    { name: 'archivo', targets: 8, slots: 5, connections: 330, serviceTime: 20 },
  ],
  kinds: [
    {
      name: 'listing',
      workClass: 'interactive',
      method: 'GET',
      path: '/catalogo/lot',
      size: 2_000,
      work: 5,
      share: 0.7,
    },
    {
      name: 'bid',
      workClass: 'critical',
      method: 'POST',
      path: '/pujas/bid',
      size: 0,
      work: 5,
      share: 0.2,
    },
    {
      name: 'download',
      workClass: 'bulk',
      method: 'GET',
      path: '/archivo/plan',
      size: 200_000,
      work: 20,
      share: 0.1,
    },
  ],
  failing: 'catalogo',
  peakPreset: 'peak',
};

/** The plant: orders must not double, stock reads must not queue behind manifests. */
export const plant: Deployment = {
  name: 'plant',
  title: 'Void-fill plant',
  dataCentres: [
    { name: 'xela-a', region: 'occidente' },
    { name: 'xela-b', region: 'occidente' },
    { name: 'zacapa-a', region: 'oriente' },
    { name: 'zacapa-b', region: 'oriente' },
  ],
  services: [
    { name: 'inventario', targets: 8, slots: 3, connections: 390, serviceTime: 5 },
    { name: 'despacho', targets: 8, slots: 3, connections: 390, serviceTime: 30 },
    { name: 'pedidos', targets: 14, slots: 3, connections: 390, serviceTime: 5 },
  ],
  kinds: [
    {
      name: 'stock',
      workClass: 'interactive',
      method: 'GET',
      path: '/inventario/stock',
      size: 1_000,
      work: 5,
      share: 0.7,
    },
    {
      name: 'order',
      workClass: 'critical',
      method: 'POST',
      path: '/pedidos/order',
      size: 0,
      work: 5,
      share: 0.2,
    },
    {
      name: 'manifest',
      workClass: 'bulk',
      method: 'GET',
      path: '/despacho/manifest',
      size: 100_000,
      work: 30,
      share: 0.1,
    },
  ],
  failing: 'inventario',
  peakPreset: 'peak',
};
