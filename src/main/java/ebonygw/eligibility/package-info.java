/** Why a target takes no requests: allowed regions, evacuated data centres and other reasons. */
package ebonygw.eligibility;
