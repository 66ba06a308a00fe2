// Settings of the operators' command. They are global flags or SISKINBEAM_ environment variables; each
// command requires only those that it uses.
import { z } from 'zod'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { readSettings, type SettingValues } from '@siskinbeam/settings/readSettings'
import { addressSetting, secretSetting } from '@siskinbeam/settings/settingChecks'

const keySetting = z.string().min(1, 'base64 text of an Ed25519 key')
const keyListSetting = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))

/** All settings by name. */
export const settingDefinitions = {
  tableAddress: { flag: 'table-address', description: 'address of the table service', check: addressSetting },
  objectStoreAddress: { flag: 'object-store-address', description: 'address of the object store', check: addressSetting },
  hostListAddress: { flag: 'host-list-address', description: 'address of the host list', check: addressSetting },
  operatorKey: { flag: 'operator-key', description: 'key for calls to entry hosts; better given by its variable', check: secretSetting, secret: true },
  trustedKeys: { flag: 'trusted-keys', description: 'public keys of authors and approvers, base64, separated by commas', check: keyListSetting },
  signingKey: { flag: 'signing-key', description: 'private key for sign and approve; better given by its variable', check: keySetting, secret: true }
}

export type CommandSettings = SettingValues<typeof settingDefinitions>
export type SettingName = keyof CommandSettings

export interface ReadCommandSettingsOptions<Name extends SettingName> {
  required: readonly Name[]
  /** Values of the global flags that were given, by name of the setting. */
  flags: Partial<Record<SettingName, string>>
  environment: Record<string, string | undefined>
}

/** Reads the settings that a command requires. Fails with SettingMissing or SettingInvalid. */
export function readCommandSettings<Name extends SettingName> ({ required, flags, environment }: ReadCommandSettingsOptions<Name>): Result<Pick<CommandSettings, Name>> {
  const definitions = Object.fromEntries(required.map(name => [name, { ...settingDefinitions[name], required: true }]))
  const given = required.flatMap(name => flags[name] === undefined ? [] : [`--${settingDefinitions[name].flag}=${flags[name]}`])
  const settings = readSettings({ program: 'siskinbeamctl', description: 'settings', definitions, arguments: given, environment })
  return settings.ok ? { ok: true, value: settings.value.values as Pick<CommandSettings, Name> } : settings
}
