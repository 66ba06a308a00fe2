// Logs each event as one line of key=value pairs. Roarr collects the message and its context. Its writer, which
// emits JSON by default, is replaced, so that lines can be read and searched without a formatter.
import './enableRoarr.js'
import { Roarr, ROARR } from 'roarr'

/** Severity of a log line, in ascending order. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error'
}

export type LogFields = Record<string, string | number | boolean | undefined>

/** Logs the events of one component. `event` is a short constant name; variable data belongs in the fields. */
export interface Logger {
  debug: (event: string, fields?: LogFields) => void
  info: (event: string, fields?: LogFields) => void
  warn: (event: string, fields?: LogFields) => void
  error: (event: string, fields?: LogFields) => void
  child: (fields: LogFields) => Logger
}

export interface CreateLoggerOptions {
  component: string
  level?: LogLevel
  fields?: LogFields
  /** Receives a complete line without its line terminator. */
  write?: (line: string) => void
}

const severity: Record<LogLevel, number> = {
  [LogLevel.Debug]: 20,
  [LogLevel.Info]: 30,
  [LogLevel.Warn]: 40,
  [LogLevel.Error]: 50
}

/** Values may come from peers, and lines wait in memory while nobody reads the log. */
const maximumValueCharacters = 2_000

let writeLine = (line: string): void => { process.stderr.write(line + '\n') }

ROARR.write = (message: string) => {
  const { time, context, message: event } = JSON.parse(message) as { time: number, context: LogFields, message: string }
  writeLine(formatLine({ time: new Date(time).toISOString(), event, ...context }))
}

/** Formats fields as key=value pairs. An empty value, or one with white space, ", =, \ or other than printable ASCII, is quoted as JSON. */
export function formatLine (fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

function formatValue (value: string | number | boolean | undefined): string {
  const text = String(value).slice(0, maximumValueCharacters)
  return text === '' || /[\s"=\\]|[^\x20-\x7e]/.test(text) ? JSON.stringify(text) : text
}

/** Creates a logger. All loggers of the process share one writer: `write` replaces it for all of them. */
export function createLogger (options: CreateLoggerOptions): Logger {
  if (options.write !== undefined) writeLine = options.write
  const minimumSeverity = severity[options.level ?? LogLevel.Info]
  const context = { component: options.component, ...options.fields }
  const log = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
    if (severity[level] >= minimumSeverity) Roarr({ level, ...context, ...fields }, event)
  }
  return {
    debug: log(LogLevel.Debug),
    info: log(LogLevel.Info),
    warn: log(LogLevel.Warn),
    error: log(LogLevel.Error),
    child: fields => createLogger({ ...options, fields: { ...options.fields, ...fields } })
  }
}
