// Reads the settings of a process from flags and environment variables. Each setting has one definition for its
// flag, variable, validation and help text. A flag takes precedence over its variable.
import { Command, CommanderError, Option } from 'commander'
import { z } from 'zod'
import { ResultCode } from '@siskinbeam/result-codes/resultCode'
import { fail, succeed, type Result } from '@siskinbeam/result-codes/codedError'

/** The source of the value of a setting. */
export enum SettingSource {
  Flag = 'flag',
  Environment = 'environment',
  Default = 'default'
}

/** The definition of a setting. `check` is the schema that parses the text into the value. */
export interface SettingDefinition<Value = unknown> {
  flag: string
  description: string
  check: z.ZodType<Value>
  default?: string
  /** Never printed, logged or dumped. */
  secret?: boolean
  required?: boolean
}

export type SettingDefinitions = Record<string, SettingDefinition>
export type SettingValues<Definitions extends SettingDefinitions> = {
  [Name in keyof Definitions]: z.output<Definitions[Name]['check']>
}

export interface ReadSettingsOptions<Definitions extends SettingDefinitions> {
  program: string
  description: string
  definitions: Definitions
  /** Arguments without the interpreter and the script. */
  arguments: string[]
  environment: Record<string, string | undefined>
  version?: string
}

export interface ReadSettings<Definitions extends SettingDefinitions> {
  values: SettingValues<Definitions>
  sources: Record<keyof Definitions, SettingSource>
  /** Returns the output of `--print-settings`, the value and source of each setting with secrets masked, or of `--help` or `--version`. */
  print: () => string
  /** Whether the program was started only to print; after `--help` and `--version` there are no values. */
  printRequested: boolean
}

const environmentPrefix = 'SISKINBEAM_'

/** Returns the environment variable of a flag, for example SISKINBEAM_GUEST_ADDRESS for --guest-address. */
export function nameEnvironmentVariable (flag: string): string {
  return environmentPrefix + flag.toUpperCase().replaceAll('-', '_')
}

/** Reads and validates all settings; fails with the result code, key and expected value of the first invalid one. */
export function readSettings<Definitions extends SettingDefinitions> (options: ReadSettingsOptions<Definitions>): Result<ReadSettings<Definitions>> {
  const output: string[] = []
  const command = createCommand(options, text => output.push(text))
  try {
    command.parse(options.arguments, { from: 'user' })
  } catch (error) {
    if (error instanceof CommanderError && error.exitCode === 0) {
      return succeed({ values: {} as SettingValues<Definitions>, sources: {} as Record<keyof Definitions, SettingSource>, print: () => output.join('').trimEnd(), printRequested: true })
    }
    return fail(ResultCode.SettingInvalid, String((error as Error).message).replace(/^error: /, ''), { key: 'flags', expected: 'flags that --help lists' })
  }
  const flags = command.opts<Record<string, string | boolean>>()
  const entries = Object.entries(options.definitions).map(([name, definition]) =>
    ({ name, definition, ...findSettingText(definition, flags, options.environment) }))
  const missing = entries.find(({ definition, text }) => text === undefined && definition.required === true)
  if (missing !== undefined) {
    return fail(ResultCode.SettingMissing, `setting ${missing.definition.flag} is missing`, { key: missing.definition.flag, expected: describeSources(missing.definition) })
  }
  const checked = entries.map(entry => ({ ...entry, outcome: entry.definition.check.safeParse(entry.text) }))
  const invalid = checked.find(({ outcome }) => !outcome.success)
  if (invalid !== undefined) {
    const expected = invalid.outcome.error?.issues[0]?.message ?? 'another value'
    return fail(ResultCode.SettingInvalid, `setting ${invalid.definition.flag} from ${invalid.source} is invalid`, { key: invalid.definition.flag, expected })
  }
  return succeed({
    values: Object.fromEntries(checked.map(({ name, outcome }) => [name, outcome.data])) as SettingValues<Definitions>,
    sources: Object.fromEntries(checked.map(({ name, source }) => [name, source])) as Record<keyof Definitions, SettingSource>,
    print: () => checked
      .map(({ definition, text, source }) => `${definition.flag}=${definition.secret === true && text !== undefined ? '(secret)' : text ?? ''} source=${source}`)
      .join('\n'),
    printRequested: flags.printSettings === true
  })
}

function createCommand (options: ReadSettingsOptions<SettingDefinitions>, writeOutput: (text: string) => void): Command {
  const command = new Command(options.program)
    .description(options.description)
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({ writeOut: writeOutput, writeErr: () => {} })
    .option('--print-settings', 'print each setting with its source, then exit')
  if (options.version !== undefined) command.version(options.version)
  Object.values(options.definitions).forEach(definition => {
    const defaultText = definition.default === undefined ? '' : `, default ${definition.default}`
    command.addOption(new Option(`--${definition.flag} <value>`, `${definition.description} (${nameEnvironmentVariable(definition.flag)}${defaultText})`))
  })
  return command
}

function findSettingText (definition: SettingDefinition, flags: Record<string, string | boolean>, environment: Record<string, string | undefined>): { text: string | undefined, source: SettingSource } {
  const flag = flags[definition.flag.replace(/-(.)/g, (_, letter: string) => letter.toUpperCase())]
  if (typeof flag === 'string') return { text: flag, source: SettingSource.Flag }
  const variable = environment[nameEnvironmentVariable(definition.flag)]
  if (variable !== undefined) return { text: variable, source: SettingSource.Environment }
  return { text: definition.default, source: SettingSource.Default }
}

function describeSources (definition: SettingDefinition): string {
  return `--${definition.flag} or ${nameEnvironmentVariable(definition.flag)}`
}
