import { brandAs } from '../../common/base/index.js';
import type { AccountId, PresetName, ServiceName } from '../../common/base/index.js';
import type { ConfigurationContent, ServiceDocument } from '../../common/configuration/Types.js';

const services = ['catalogo', 'pujas', 'archivo'];

function createService(name: string): ServiceDocument {
  return {
    name: brandAs<ServiceName>(name),
    floor: 20,
    maxQueue: 50,
    timeout: 2000,
    rate: 0,
    retryShare: 0.1,
    crossRegionRate: 200000,
  };
}

/** Creates a valid configuration of a given size. */
export function createTestConfiguration(routes = 3, accounts = 2): ConfigurationContent {
  return {
    preset: brandAs<PresetName>('ordinary'),
    services: services.map(createService),
    routes: Array.from({ length: routes }, (_, index) => ({
      name: `route-${index}`,
      service: brandAs<ServiceName>(services[index % services.length] as string),
      path: `/lots/${index}`,
      workClass: 'interactive',
    })),
    accounts: Array.from({ length: accounts }, (_, index) => ({
      id: brandAs<AccountId>(`account-${index}`),
      rate: 5,
    })),
    presets: [
      { name: brandAs<PresetName>('ordinary'), reason: 'ordinary days', services: {} },
      {
        name: brandAs<PresetName>('peak'),
        reason: 'closing minutes',
        services: { pujas: { maxQueue: 200 } },
      },
    ],
    pauses: [],
    holds: [],
  };
}
