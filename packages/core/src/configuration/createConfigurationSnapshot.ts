import Configuration from '../types/Configuration';
import type ConfigurationSnapshot from './ConfigurationSnapshot';

/** @returns version 0: the empty document */
export default function createConfigurationSnapshot(): ConfigurationSnapshot {
  return {
    latest: { version: 0, configuration: Configuration.parse({}) },
    idDigests: new Uint8Array(0),
  };
}
