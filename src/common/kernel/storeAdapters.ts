import { Registry } from './Registry.js';
import type { StoreAdapter } from './Types.js';

/** Adapters to store products, by the name that the settings use. */
export const storeAdapters = new Registry<StoreAdapter>('store');
