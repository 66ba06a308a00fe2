// Logs as one line of key=value pairs for each event. Roarr collects the message and its context;
// its writer, which emits JSON by default, is replaced so that a line can be read and searched as it is.
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

/** Logs events of one component. `event` is a short fixed name; the fields carry what varies. */
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
  /** Receives a whole line without its line end. */
  write?: (line: string) => void
}

const severity: Record<LogLevel, number> = {
  [LogLevel.Debug]: 20,
  [LogLevel.Info]: 30,
  [LogLevel.Warn]: 40,
  [LogLevel.Error]: 50
}

let writeLine = (line: string): void => { process.stderr.write(line + '\n') }

ROARR.write = (message: string) => {
  const { time, context, message: event } = JSON.parse(message) as { time: number, context: LogFields, message: string }
  writeLine(formatLine({ time: new Date(time).toISOString(), event, ...context }))
}

/** Formats fields as key=value pairs. A value with a space, a quote or a control character is quoted as JSON. */
export function formatLine (fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ')
}

function formatValue (value: string | number | boolean | undefined): string {
  const text = String(value)
  return text === '' || /[\s"=\\]|[^\x20-\x7e]/.test(text) ? JSON.stringify(text) : text
}

/** Creates a logger. The writer is shared by all loggers of the process. */
export function createLogger (options: CreateLoggerOptions): Logger {
  if (options.write !== undefined) writeLine = options.write
  const lowest = severity[options.level ?? LogLevel.Info]
  const context = { component: options.component, ...options.fields }
  const log = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
    if (severity[level] >= lowest) Roarr({ level, ...context, ...fields }, event)
  }
  return {
    debug: log(LogLevel.Debug),
    info: log(LogLevel.Info),
    warn: log(LogLevel.Warn),
    error: log(LogLevel.Error),
    child: fields => createLogger({ ...options, fields: { ...options.fields, ...fields } })
  }
}
