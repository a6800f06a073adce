/** Access rules: which customer may use which route and adapter, at entries and targets alike. */
package ebonygw.access;
