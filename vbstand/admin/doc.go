// Package admin simulates an operator: it submits configurations, starts runs, waits for jobs and
// polls the configuration that each instance reports. SubmitConfig, AwaitJob and WatchConfigs return
// or record the answers of the instances for the report.
package admin
