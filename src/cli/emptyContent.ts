import { brandAs } from '../common/base/index.js';
import type { PresetName } from '../common/base/index.js';
import type { ConfigurationContent } from '../common/configuration/Types.js';

/** Configuration of a fleet that has none yet. */
export const emptyContent: ConfigurationContent = {
  preset: brandAs<PresetName>(''),
  services: [],
  routes: [],
  accounts: [],
  presets: [],
  pauses: [],
  holds: [],
};
